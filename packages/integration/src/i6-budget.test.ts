import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {errorOf, TestBed, waitFor} from '@marjoramcove/test-support';
import {isRefused} from './helpers/retry-refused.ts';
import {ignoreFailure} from './helpers/ignore-failure.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I6 budget', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineCount: 2,
			engineOptions: {
				ignoreMaxTokens: isFaultInjected('engine-ignores-max-tokens'),
			},
		});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		for (const engine of bed.engines) {
			engine.clearFaults();
			if (!engine.running) {
				await engine.start();
			}
		}

		await bed.cluster.restartStopped();
	});

	afterAll(async () => {
		await bed.stop();
	});

	/** Returns the tokens that the engines used for programs, independent of what the daemons recorded. */
	const usedTokens = (programs: string[]): number => {
		let sum = 0;
		for (const engine of bed.engines) {
			for (const call of engine.calls) {
				if (call.programId !== undefined && programs.includes(call.programId)) {
					sum += call.readUsedTokens();
				}
			}
		}

		return sum;
	};

	/** Calls a model until the budget is exhausted and returns the reason; other refusals are retried. */
	const exhaustBudget = async (daemonId: string, programId: string) =>
		waitFor(
			'the budget to be exhausted',
			async () => {
				const answer = await bed
					.caller(daemonId)
					.callModel(programId, 'More. [tokens=1200]', {maxTokens: 50});
				const reason = errorOf(answer)?.reason;
				return isRefused(answer) || reason === undefined ? undefined : reason;
			},
			{timeoutMs: 30_000, intervalMs: 1},
		);

	it('refuses the call that would exceed the token budget', async () => {
		// Guards against a check of the spent tokens that ignores reserved tokens.
		const programId = await bed
			.caller('d4')
			.openProgram({budget: {tokens: 1000, turns: 100, wallTimeMs: 60_000}});
		const reason = await exhaustBudget('d4', programId);
		expect(reason).toBe('token-budget');
		expect(usedTokens([programId])).toBeLessThanOrEqual(1000);
		expect(usedTokens([programId])).toBeGreaterThan(0);
	});

	it('refuses the call after the last turn', async () => {
		// Guards against an off-by-one error in the turn limit.
		const programId = await bed
			.caller('d4')
			.openProgram({budget: {tokens: 100_000, turns: 3, wallTimeMs: 60_000}});
		const reason = await exhaustBudget('d4', programId);
		expect(reason).toBe('turn-limit');
		const calls = bed.engines
			.flatMap((engine) => engine.calls)
			.filter((call) => call.programId === programId);
		expect(calls).toHaveLength(3);
	});

	it('limits a program and its parallel sub-agents in total', async () => {
		// Guards against sub-agents that each receive the full budget.
		const budget = {tokens: 2000, turns: 100, wallTimeMs: 60_000};
		const parent = await bed.caller('d4').openProgram({budget});
		const opened = await Promise.all(
			['d4', 'd5', 'd1', 'd2'].map(async (daemonId) =>
				bed.caller(daemonId).tryOpenProgram({
					parent,
					budget: {...budget, tokens: 900, turns: 20},
				}),
			),
		);
		const children = opened
			.filter(({status}) => status === 201)
			.map(({body}) => String(body.programId));
		expect(children.length).toBeGreaterThan(0);
		expect(children.length).toBeLessThanOrEqual(2);
		await Promise.all(
			[parent, ...children].map(async (programId) =>
				exhaustBudget('d5', programId),
			),
		);
		expect(usedTokens([parent, ...children])).toBeLessThanOrEqual(2000);
	});

	it('charges attempts that were lost with their engine or connection', async () => {
		// Guards against a retry whose new reservation replaces the charge of the lost attempt.
		const budget = {tokens: 1500, turns: 100, wallTimeMs: 60_000};
		const programId = await bed.caller('d4').openProgram({budget});
		for (const engine of bed.engines) {
			engine.injectFault({kind: 'reset-after', bytes: 2000});
			engine.injectFault({kind: 'die-after', bytes: 2000});
		}

		const restartTimer = setInterval(() => {
			for (const engine of bed.engines) {
				if (!engine.running) {
					void ignoreFailure(engine.start());
				}
			}
		}, 500);
		try {
			const reason = await exhaustBudget('d4', programId);
			expect(reason).toBe('token-budget');
		} finally {
			clearInterval(restartTimer);
		}

		expect(usedTokens([programId])).toBeLessThanOrEqual(1500);
	});

	it('keeps the budget across a change of owner', async () => {
		// Guards against a new owner that resets the spent tokens.
		const budget = {tokens: 1500, turns: 100, wallTimeMs: 60_000};
		const programId = await bed.caller('d4').openProgram({budget});
		const first = await bed
			.caller('d4')
			.callModel(programId, 'First. [tokens=50]', {maxTokens: 50});
		expect(first.status).toBe(200);
		for (const daemon of bed.cluster.diskDaemons) {
			await daemon.kill();
			daemon.start();
			await bed.cluster.waitUntilReady();
		}

		const reason = await exhaustBudget('d4', programId);
		expect(reason).toBe('token-budget');
		expect(usedTokens([programId])).toBeLessThanOrEqual(1500);
	});

	it('ends a program at its wall-time limit and releases its memory', async () => {
		// Guards against a program that runs past its time budget.
		const programId = await bed
			.caller('d4')
			.openProgram({budget: {tokens: 100_000, turns: 100, wallTimeMs: 1500}});
		await bed.caller('d4').callModel(programId, 'Hello.');
		const reason = await exhaustBudget('d4', programId);
		expect(['wall-time-limit', 'program-ended']).toContain(reason);
		await waitFor('the release', () =>
			bed.engines.every(
				({held}) => !held.some((entry) => entry.programId === programId),
			),
		);
	});
});
