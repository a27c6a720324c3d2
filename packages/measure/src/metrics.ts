import type {ProgramRecord, RunRecord} from './simulation.ts';

/** Metrics of one run; a value is null when no program contributes to it. */
export type Metrics = {
	programs: number;
	finishedPrograms: number;
	finishedInTimePrograms: number;
	refusedPrograms: number;
	programLatencyMeanMs: number | null;
	programLatencyP50Ms: number | null;
	programLatencyP95Ms: number | null;
	programLatencyP99Ms: number | null;
	/** P95 in which refused programs count as never finished; null when more than 5% of the programs are refused. */
	programLatencyP95WithRefusedMs: number | null;
	lowerBoundP95Ms: number | null;
	ratioToLowerBoundMean: number | null;
	wastedPrefixShare: number;
	unusedCacheTokenSeconds: number;
	callerSpreadRatio: number | null;
	/** Smallest and largest share, over all callers, of a caller's programs that finished in time. */
	callerInTimeShareMin: number | null;
	callerInTimeShareMax: number | null;
	goodputProgramsPerMinute: number;
	refusedByReason: Record<string, number>;
};

/** Returns the value at or below which the given share of the sorted values lies. */
export const computeQuantile = (
	sorted: readonly number[],
	share: number,
): number | null =>
	sorted.length === 0
		? null
		: sorted[
				Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)
			]!;

export const computeMean = (values: readonly number[]): number | null => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? null : sum / values.length;
};

const computeLatencyMs = ({plan, finishedAtMs}: ProgramRecord): number =>
	finishedAtMs === undefined
		? Number.POSITIVE_INFINITY
		: finishedAtMs - plan.arrivalMs;

/** Callers with fewer programs are ignored, because their mean is not meaningful. */
const MIN_PROGRAMS_PER_CALLER = 8;

/** Computes the mean ratio to the lower bound per caller, and divides the largest mean by the smallest. */
const computeCallerSpread = (finished: ProgramRecord[]): number | null => {
	const ratios = new Map<number, number[]>();
	for (const record of finished) {
		const ratio = computeLatencyMs(record) / record.plan.lowerBoundMs;
		const {caller} = record.plan;
		ratios.set(caller, [...(ratios.get(caller) ?? []), ratio]);
	}

	const means = [...ratios.values()]
		.filter((values) => values.length >= MIN_PROGRAMS_PER_CALLER)
		.map((values) => computeMean(values)!);
	return means.length === 0 ? null : Math.max(...means) / Math.min(...means);
};

/** Computes the share of programs that finished in time for each caller, sorted; refused programs count as late. */
const computeInTimeShares = (records: ProgramRecord[]): number[] => {
	const outcomes = new Map<number, number[]>();
	for (const record of records) {
		const {caller} = record.plan;
		const outcome = isInTime(record) ? 1 : 0;
		outcomes.set(caller, [...(outcomes.get(caller) ?? []), outcome]);
	}

	return [...outcomes.values()]
		.filter((values) => values.length >= MIN_PROGRAMS_PER_CALLER)
		.map((values) => computeMean(values)!)
		.sort((left, right) => left - right);
};

const countRefusalReasons = (
	records: ProgramRecord[],
): Record<string, number> => {
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

const compareAscending = (left: number, right: number) => left - right;

/** Computes the metrics of the measured programs of a run. */
export const computeMetrics = (run: RunRecord, measuredMs: number): Metrics => {
	const records = run.programs.filter(({plan}) => plan.measured);
	const finished = records.filter((record) => isFinished(record));
	const finishedInTime = finished.filter((record) => isInTime(record));
	const latencies = finished
		.map((record) => computeLatencyMs(record))
		.sort(compareAscending);
	const allLatencies = records
		.map((record) => computeLatencyMs(record))
		.sort(compareAscending);
	const lowerBounds = records
		.map(({plan}) => plan.lowerBoundMs)
		.sort(compareAscending);
	const inTimeShares = computeInTimeShares(records);
	const p95WithRefusedMs = computeQuantile(allLatencies, 0.95);
	return {
		programs: records.length,
		finishedPrograms: finished.length,
		finishedInTimePrograms: finishedInTime.length,
		refusedPrograms: records.length - finished.length,
		programLatencyMeanMs: computeMean(latencies),
		programLatencyP50Ms: computeQuantile(latencies, 0.5),
		programLatencyP95Ms: computeQuantile(latencies, 0.95),
		programLatencyP99Ms: computeQuantile(latencies, 0.99),
		programLatencyP95WithRefusedMs: Number.isFinite(p95WithRefusedMs)
			? p95WithRefusedMs
			: null,
		lowerBoundP95Ms: computeQuantile(lowerBounds, 0.95),
		ratioToLowerBoundMean: computeMean(
			finished.map(
				(record) => computeLatencyMs(record) / record.plan.lowerBoundMs,
			),
		),
		wastedPrefixShare: run.wastedTokens / Math.max(1, run.promptTokens),
		unusedCacheTokenSeconds: run.unusedCacheTokenSeconds,
		callerSpreadRatio: computeCallerSpread(finished),
		callerInTimeShareMin: inTimeShares[0] ?? null,
		callerInTimeShareMax: inTimeShares.at(-1) ?? null,
		goodputProgramsPerMinute: finishedInTime.length / (measuredMs / 60_000),
		refusedByReason: countRefusalReasons(records),
	};
};
