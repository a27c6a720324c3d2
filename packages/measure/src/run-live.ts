import {setTimeout as sleep} from 'node:timers/promises';
import {
	type Answer,
	type Caller,
	errorOf,
	TestBed,
} from '@marjoramcove/test-support';
import {computeMetrics} from './metrics.ts';
import {scaleScenario} from './scale-scenario.ts';
import {type Row, toRow} from './row.ts';
import type {Scenario} from './scenarios.ts';
import type {ProgramRecord, RunRecord} from './simulation.ts';
import {drawWorkload, type ProgramPlan, type Turn} from './workload.ts';

const DAEMONS = 5;
const CALL_TIMEOUT_MS = 120_000;
const ENTRY_DAEMONS = ['d4', 'd5'];
/** Characters per token of the fake engine. */
const CHARACTERS_PER_TOKEN = 4;
/** Pauses longer than this are announced to the daemon. */
const ANNOUNCED_PAUSE_MS = 200;
/** Budget that each program of a live run requests. */
export const LIVE_BUDGET = {tokens: 300_000, turns: 200, wallTimeMs: 300_000};

type Usage = {
	prompt_tokens: number;
	completion_tokens: number;
	prompt_tokens_details?: {cached_tokens?: number};
};

const composeMessage = (turn: Turn, index: number): string => {
	const request = `turn ${index} [tokens=${turn.completionTokens}]`;
	const length = Math.max(
		request.length,
		turn.newTokens * CHARACTERS_PER_TOKEN,
	);
	return request.padStart(length, 'what is the rule for this kite ');
};

const extractRefusalReason = (answer: Answer): string =>
	errorOf(answer)?.reason ?? `status-${answer.status}`;

/** Adds the tokens of a finished call to the run record; returns the new length of the history in tokens. */
const recordUsage = (
	run: RunRecord,
	usage: Usage,
	historyTokens: number,
): number => {
	const cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
	run.promptTokens += usage.prompt_tokens;
	run.wastedTokens += Math.max(0, historyTokens - cachedTokens);
	return usage.prompt_tokens + usage.completion_tokens;
};

const pauseProgram = async (
	caller: Caller,
	programId: string,
	turn: Turn,
): Promise<void> => {
	if (turn.pauseMs > ANNOUNCED_PAUSE_MS) {
		await caller.pauseProgram(programId, Math.round(turn.expectedPauseMs));
	}

	await sleep(turn.pauseMs);
};

/** Runs one program turn by turn; returns the reason when the daemon refuses it. */
const runProgram = async (
	bed: TestBed,
	plan: ProgramPlan,
	run: RunRecord,
): Promise<string | undefined> => {
	const caller = bed.caller(ENTRY_DAEMONS[plan.index % ENTRY_DAEMONS.length]!);
	const opened = await caller.tryOpenProgram({
		labels: {agent: plan.agent.name},
		callerId: `caller-${plan.caller}`,
		budget: LIVE_BUDGET,
	});
	if (opened.status !== 201) {
		return extractRefusalReason(opened);
	}

	const programId = String(opened.body.programId);
	const {turns} = plan.chain;
	let historyTokens = 0;
	for (const [index, turn] of turns.entries()) {
		const message = composeMessage(turn, index);
		const options = {timeoutMs: CALL_TIMEOUT_MS};
		const answer = await caller.callModel(programId, message, options);
		if (answer.status !== 200) {
			await caller.endProgram(programId);
			return extractRefusalReason(answer);
		}

		const usage = answer.body.usage as Usage;
		historyTokens = recordUsage(run, usage, historyTokens);
		if (index < turns.length - 1) {
			await pauseProgram(caller, programId, turn);
		}
	}

	await caller.endProgram(programId);
	return undefined;
};

const runPrograms = async (
	bed: TestBed,
	programs: ProgramPlan[],
): Promise<RunRecord> => {
	const run: RunRecord = {
		programs: [],
		calls: [],
		promptTokens: 0,
		wastedTokens: 0,
		unusedCacheTokenSeconds: 0,
		endedAtMs: 0,
	};
	const startedAtMs = performance.now();
	const runAtArrival = async (plan: ProgramPlan): Promise<ProgramRecord> => {
		await sleep(plan.arrivalMs);
		try {
			const refusedReason = await runProgram(bed, plan, run);
			const finishedAtMs = performance.now() - startedAtMs;
			return refusedReason ? {plan, refusedReason} : {plan, finishedAtMs};
		} catch (error) {
			return {plan, refusedReason: `failed: ${(error as Error).message}`};
		}
	};

	run.programs = await Promise.all(
		programs.map(async (plan) => runAtArrival(plan)),
	);
	run.endedAtMs = performance.now() - startedAtMs;
	return run;
};

/** Runs a scaled-down scenario against real daemons with fake engines, in real time. */
export const runLive = async (
	base: Scenario,
	{seed}: {seed: number},
): Promise<Row[]> => {
	const scenario = scaleScenario(base);
	const {model, arrivals} = scenario;
	const rows: Row[] = [];
	for (const load of scenario.loads) {
		const bed = await TestBed.start({
			daemonCount: DAEMONS,
			engineCount: scenario.engines,
			settings: {
				policy: {
					latencyWeight: scenario.settings.latencyWeight,
					cacheWeight: scenario.settings.cacheWeight,
				},
			},
			engineOptions: {
				prefillTokensPerSecond: 1000 / model.prefillMsPerToken,
				decodeTokensPerSecond: 1000 / model.stepBaseMs,
				slots: model.slots,
				kvCapacityTokens: model.cacheCapacityTokens,
			},
		});
		try {
			const programs = drawWorkload({...scenario, load, seed});
			const run = await runPrograms(bed, programs);
			const metrics = computeMetrics(run, arrivals.measuredMs);
			const key = {scenario: scenario.name, load, seed};
			rows.push(toRow({...key, policy: 'marjoramcove'}, metrics));
			console.error(`load ${load}: ${JSON.stringify(metrics.refusedByReason)}`);
		} finally {
			await bed.stop();
		}
	}

	return rows;
};
