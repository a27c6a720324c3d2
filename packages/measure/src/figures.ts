import type {ProgramRecord, RunRecord} from './simulation.ts';

/** Figures of one run; a missing value (no such program) is null. */
export type Figures = {
	programs: number;
	finishedPrograms: number;
	finishedInTimePrograms: number;
	refusedPrograms: number;
	programLatencyMeanMs: number | null;
	programLatencyP50Ms: number | null;
	programLatencyP95Ms: number | null;
	programLatencyP99Ms: number | null;
	/** Refused programs count as never finished: null when they are more than 5% of all. */
	programLatencyP95WithRefusedMs: number | null;
	lowerBoundP95Ms: number | null;
	ratioToLowerBoundMean: number | null;
	wastedPrefixShare: number;
	unusedCacheTokenSeconds: number;
	callerSpreadRatio: number | null;
	/** Smallest and largest share of the programs of a caller that finished in time. */
	callerInTimeShareMin: number | null;
	callerInTimeShareMax: number | null;
	goodputProgramsPerMinute: number;
	refusedByReason: Record<string, number>;
};

/** Value below which the given share of the sorted values lies. */
export const readQuantile = (
	sorted: readonly number[],
	share: number,
): number | null =>
	sorted.length === 0
		? null
		: sorted[
				Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)
			]!;

export const readMean = (values: readonly number[]): number | null => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? null : sum / values.length;
};

const readLatencyMs = ({plan, finishedAtMs}: ProgramRecord): number =>
	finishedAtMs === undefined
		? Number.POSITIVE_INFINITY
		: finishedAtMs - plan.arrivalMs;

/** Programs of a caller below which its mean says little. */
const LEAST_PROGRAMS_PER_CALLER = 8;

/** Largest mean ratio to the lower bound of a caller, relative to the smallest one. */
const readCallerSpread = (finished: ProgramRecord[]): number | null => {
	const ratios = new Map<number, number[]>();
	for (const record of finished) {
		const ratio = readLatencyMs(record) / record.plan.lowerBoundMs;
		const {caller} = record.plan;
		ratios.set(caller, [...(ratios.get(caller) ?? []), ratio]);
	}

	const means = [...ratios.values()]
		.filter((values) => values.length >= LEAST_PROGRAMS_PER_CALLER)
		.map((values) => readMean(values)!);
	return means.length === 0 ? null : Math.max(...means) / Math.min(...means);
};

/** Shares of the programs of each caller that finished in time; refused programs count as late. */
const readInTimeShares = (records: ProgramRecord[]): number[] => {
	const outcomes = new Map<number, number[]>();
	for (const record of records) {
		const {caller} = record.plan;
		const outcome = isInTime(record) ? 1 : 0;
		outcomes.set(caller, [...(outcomes.get(caller) ?? []), outcome]);
	}

	return [...outcomes.values()]
		.filter((values) => values.length >= LEAST_PROGRAMS_PER_CALLER)
		.map((values) => readMean(values)!)
		.sort((left, right) => left - right);
};

const countReasons = (records: ProgramRecord[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {refusedReason} of records) {
		if (refusedReason !== undefined) {
			counts[refusedReason] = (counts[refusedReason] ?? 0) + 1;
		}
	}

	return counts;
};

const isFinished = ({finishedAtMs}: ProgramRecord): boolean =>
	finishedAtMs !== undefined;

const isInTime = (record: ProgramRecord): boolean =>
	isFinished(record) && record.finishedAtMs! <= record.plan.deadlineMs;

const byValue = (left: number, right: number) => left - right;

/** Computes the figures over the measured programs of a run. */
export const computeFigures = (run: RunRecord, measuredMs: number): Figures => {
	const records = run.programs.filter(({plan}) => plan.measured);
	const finished = records.filter((record) => isFinished(record));
	const inTime = finished.filter((record) => isInTime(record));
	const latencies = finished
		.map((record) => readLatencyMs(record))
		.sort(byValue);
	const all = records.map((record) => readLatencyMs(record)).sort(byValue);
	const lowerBounds = records.map(({plan}) => plan.lowerBoundMs).sort(byValue);
	const inTimeShares = readInTimeShares(records);
	const p95WithRefusedMs = readQuantile(all, 0.95);
	return {
		programs: records.length,
		finishedPrograms: finished.length,
		finishedInTimePrograms: inTime.length,
		refusedPrograms: records.length - finished.length,
		programLatencyMeanMs: readMean(latencies),
		programLatencyP50Ms: readQuantile(latencies, 0.5),
		programLatencyP95Ms: readQuantile(latencies, 0.95),
		programLatencyP99Ms: readQuantile(latencies, 0.99),
		programLatencyP95WithRefusedMs: Number.isFinite(p95WithRefusedMs)
			? p95WithRefusedMs
			: null,
		lowerBoundP95Ms: readQuantile(lowerBounds, 0.95),
		ratioToLowerBoundMean: readMean(
			finished.map(
				(record) => readLatencyMs(record) / record.plan.lowerBoundMs,
			),
		),
		wastedPrefixShare: run.wastedTokens / Math.max(1, run.promptTokens),
		unusedCacheTokenSeconds: run.unusedCacheTokenSeconds,
		callerSpreadRatio: readCallerSpread(finished),
		callerInTimeShareMin: inTimeShares[0] ?? null,
		callerInTimeShareMax: inTimeShares.at(-1) ?? null,
		goodputProgramsPerMinute: inTime.length / (measuredMs / 60_000),
		refusedByReason: countReasons(records),
	};
};
