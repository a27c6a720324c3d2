import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {errorOf, TestBed, waitFor} from '@marjoramcove/test-support';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I10 limits for hung tools and endless loops', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({daemonCount: 5, engineCount: 1});
		if (isFaultInjected('endless-operation-time')) {
			const resources = bed.resources();
			for (const {spec} of resources) {
				spec.operations &&= {
					'charge-fee': {idempotent: false, timeoutMs: 600_000},
				};
			}

			await bed.apply(resources);
		}
	});

	afterEach((context) => {
		showLogsOnFailure(bed, context);
		bed.entryDesk.clearFaults();
	});

	afterAll(async () => {
		await bed.stop();
	});

	it('ends a hung tool call at its timeout with an accurate verdict, and the program continues', async () => {
		// Guards against a program that waits forever, and against a not-run verdict for a call that was sent.
		const programId = await bed.caller('d4').openProgram();
		bed.entryDesk.injectFault('charge-fee', {kind: 'hang'});
		const hung = await bed
			.caller('d4')
			.callTool(programId, 'entry-desk/charge-fee', {ref: 'hung'});
		expect(hung.status).toBe(504);
		expect(errorOf(hung)).toMatchObject({
			reason: 'tool-timeout',
			verdict: 'may-have-run',
		});
		const next = await bed.caller('d4').callModel(programId, 'Go on.');
		expect(next.status).toBe(200);
	});

	it('frees the slot of a hung tool call', async () => {
		// Guards against slots that hung calls occupy forever; the service has 16.
		const programs = await Promise.all(
			Array.from({length: 16}, async () => bed.caller('d4').openProgram()),
		);
		for (const _ of programs) {
			bed.entryDesk.injectFault('charge-fee', {kind: 'hang'});
		}

		const hung = await Promise.all(
			programs.map(async (programId) =>
				bed
					.caller('d4')
					.callTool(programId, 'entry-desk/charge-fee', {ref: 'slots'}),
			),
		);
		expect(hung.map(({status}) => status)).toEqual(hung.map(() => 504));
		const after = await bed
			.caller('d4')
			.callTool(programs[0]!, 'entry-desk/charge-fee', {ref: 'after'});
		expect(after.status).toBe(200);
	});

	it.each([
		['turn-limit', {tokens: 1_000_000, turns: 5, wallTimeMs: 60_000}],
		['token-budget', {tokens: 600, turns: 200, wallTimeMs: 60_000}],
		['wall-time-limit', {tokens: 1_000_000, turns: 200, wallTimeMs: 2000}],
	] as const)(
		'stops an endless loop with reason %s',
		async (reason, budget) => {
			// Guards against a loop that no limit stops, and against limits that report the same reason.
			const programId = await bed.caller('d4').openProgram({budget});
			const error = await waitFor(
				'the limit',
				async () => {
					const answer = await bed
						.caller('d4')
						.callModel(programId, 'Again.', {maxTokens: 20});
					return errorOf(answer);
				},
				{intervalMs: 1},
			);
			expect(error.reason).toBe(reason);
			const next = await bed.caller('d4').callModel(programId, 'Once more.');
			expect(errorOf(next)).toMatchObject({verdict: 'not-run'});
			await bed.caller('d4').endProgram(programId);
			await waitFor('the memory to be released', () =>
				bed.engines.every(
					({held}) => !held.some((entry) => entry.programId === programId),
				),
			);
		},
	);

	it('stops a running call at the wall-time limit of its program', async () => {
		// Guards against a call that runs past the end of its program.
		const programId = await bed
			.caller('d4')
			.openProgram({budget: {tokens: 100_000, turns: 5, wallTimeMs: 1500}});
		const result = await bed
			.caller('d4')
			.streamModel(programId, 'Endless. [tokens=20000]').finished;
		expect(result.complete).toBe(false);
		expect(result.error?.reason).toBe('wall-time-limit');
		await waitFor('the engine to be idle and empty', () =>
			bed.engines.every(
				({held, load}) =>
					load.running === 0 &&
					!held.some((entry) => entry.programId === programId),
			),
		);
	});
});
