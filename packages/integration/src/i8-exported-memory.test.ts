import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {TestBed, waitFor} from '@marjoramcove/test-support';
import {
	findDispatcher,
	findLeader,
	groupIdOf,
	moveLeaderships,
	openProgramOwnedBy,
	waitForStableRoles,
} from './helpers/find-roles.ts';
import {retryRefused} from './helpers/retry-refused.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

const longPauseMs = 60_000;

/** Returns a long message that shares no prefix with those of other programs. */
const longMessage = (programId: string): string =>
	`${programId}: ${'A kite line may be 40 m long. '.repeat(40)}`;

type Usage = {prompt_tokens_details?: {cached_tokens?: number}};

describe('I8 exported memory', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineCount: 1,
			settings: {
				// Disables reconciliation in effect, so that memory is released only through recorded holds.
				timing: {memoryReconcileMs: 3_600_000},
				limits: {exportedCacheTokens: 100_000},
				// Any held token counts as a full cache, so that each long pause leads to an export.
				policy: {tuning: {retentionCacheShare: 0.000_001}},
			},
		});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		await bed.cluster.restartStopped();
		// A daemon that returned takes the dispatcher role back, which drops the copies of the one before.
		await waitForStableRoles(bed, 'engine-1');
	});

	afterAll(async () => {
		await bed.stop();
	});

	const heldTokens = (programId: string): number =>
		bed.engines[0]!.held.find((entry) => entry.programId === programId)
			?.tokens ?? 0;

	/** Returns the tokens of all copies kept by the running daemons. */
	const copiedTokens = async (): Promise<number> => {
		let sum = 0;
		for (const {daemonId, running} of bed.cluster.daemons) {
			if (running) {
				const answer = await bed
					.caller(daemonId)
					.send<{text: string}>('GET', '/metrics');
				const found =
					/^marjoramcove_exported_cache_tokens (?<tokens>\d+)$/mv.exec(
						answer.body.text,
					);
				sum += Number(found!.groups!.tokens);
			}
		}

		return sum;
	};

	/**
	 * Pauses a program after each turn until its memory is exported. More than one turn may be needed:
	 * the owner learns the cache usage of the engine only with call outcomes, and with a delay.
	 */
	const exportMemory = async (programId: string): Promise<void> => {
		const caller = bed.caller('d4');
		await waitFor('the export', async () => {
			const answer = await caller.callModel(programId, longMessage(programId));
			expect(answer.status).toBe(200);
			expect(heldTokens(programId)).toBeGreaterThan(200);
			const pause = await caller.pauseProgram(programId, longPauseMs);
			return pause.body.decision === 'export';
		});
	};

	const openProgramWithExport = async (): Promise<string> => {
		const programId = await bed.caller('d4').openProgram();
		await exportMemory(programId);
		return programId;
	};

	const callAgain = async (programId: string): Promise<number> => {
		const answer = await retryRefused(async () =>
			bed.caller('d4').callModel(programId, 'And in rain?'),
		);
		expect(answer.status).toBe(200);
		return (
			(answer.body.usage as Usage).prompt_tokens_details?.cached_tokens ?? 0
		);
	};

	const expectNothingHeld = async (
		programId: string,
		daemonId = 'd4',
	): Promise<void> => {
		await waitFor('the release', async () => {
			const {body} = await bed.caller(daemonId).readProgram(programId);
			return (
				heldTokens(programId) === 0 &&
				(await copiedTokens()) === 0 &&
				(body.holds as unknown[] | undefined)?.length === 0
			);
		});
	};

	it('exports the memory during a long pause and imports it before the next call', async () => {
		// Guards against memory that remains at the engine, and against a prefix that is recomputed.
		const programId = await openProgramWithExport();
		expect(heldTokens(programId)).toBe(0);
		expect(await copiedTokens()).toBeGreaterThan(200);
		expect(await callAgain(programId)).toBeGreaterThan(200);
		expect(await copiedTokens()).toBe(0);
		await bed.caller('d4').endProgram(programId);
		await expectNothingHeld(programId);
	});

	it('keeps the memory at the engine during a short pause', async () => {
		// Guards against copies that cost more than they save.
		const caller = bed.caller('d4');
		const programId = await caller.openProgram();
		await caller.callModel(programId, longMessage(programId));
		const pause = await caller.pauseProgram(programId, 100);
		expect(pause.body.decision).toBe('keep');
		expect(heldTokens(programId)).toBeGreaterThan(200);
		await caller.endProgram(programId);
		await expectNothingHeld(programId);
	});

	it('recomputes the prefix when the import fails', async () => {
		// Guards against a call that fails or waits forever because its copy cannot be imported.
		const programId = await openProgramWithExport();
		bed.engines[0]!.options.failImports = 1;
		expect(await callAgain(programId)).toBe(0);
		expect(bed.engines[0]!.options.failImports).toBe(0);
		// The first attempt runs; a failed import does not count as a lost attempt.
		expect(bed.engines[0]!.calls.at(-1)!.streamId).toMatch(/~1$/v);
		await bed.caller('d4').endProgram(programId);
		await expectNothingHeld(programId);
	});

	it('drops the copy when the owner is killed between the end of the program and the release', async () => {
		// Guards against a copy that the owner tracks only in memory.
		const holder = await findDispatcher(bed.caller('d4'), 'engine-1');
		await moveLeaderships(bed, holder, bed.caller('d4'));
		await waitForStableRoles(bed, 'engine-1');
		expect(await findDispatcher(bed.caller('d4'), 'engine-1')).toBe(holder);
		const programId = await openProgramOwnedBy(
			bed.caller('d4'),
			(daemonId) => daemonId !== holder && daemonId !== 'd4',
		);
		await exportMemory(programId);
		const owner = await findLeader(bed.caller('d4'), groupIdOf(programId));
		bed.cluster.daemon(holder).signal('SIGSTOP');
		bed.engines[0]!.options.loseReleases = 1_000_000;
		const ended = await bed.caller('d4').endProgram(programId);
		await bed.cluster.daemon(owner).kill();
		bed.cluster.daemon(holder).signal('SIGCONT');
		bed.engines[0]!.options.loseReleases = 0;
		expect(ended.status).toBeLessThan(300);
		await expectNothingHeld(programId);
	});

	it('ends the hold of a copy whose daemon is killed', async () => {
		// Guards against an ended program that waits forever for a daemon that no longer exists.
		const programId = await openProgramWithExport();
		const holder = await findDispatcher(bed.caller('d4'), 'engine-1');
		await bed.cluster.daemon(holder).kill();
		const other = holder === 'd4' ? 'd5' : 'd4';
		await retryRefused(async () => bed.caller(other).endProgram(programId));
		await expectNothingHeld(programId, other);
	});

	it('imports the copy after the engine restarted during the pause', async () => {
		// Guards against a copy that is lost when its engine loses its memory.
		const programId = await openProgramWithExport();
		await bed.engines[0]!.restart();
		expect(await callAgain(programId)).toBeGreaterThan(200);
		await bed.caller('d4').endProgram(programId);
		await expectNothingHeld(programId);
	});
});
