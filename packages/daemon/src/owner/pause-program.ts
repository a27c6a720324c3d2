import {reasonOf} from '@marjoramcove/errors';
import type {ProgramDescription} from '@marjoramcove/programs';
import {decideRetention, type RetentionDecision} from '@marjoramcove/scheduler';
import type {ProgramId, UpstreamId} from '@marjoramcove/types';
import {
	type CopyHolder,
	formatCopyHolder,
	parseCopyHolder,
} from './copy-holder.ts';
import {estimateCachedTokens, newestHold} from './engine-memory.ts';
import {findDispatcher} from './find-dispatcher.ts';
import type {OwnerCore} from './owner-core.ts';
import type {OwnerSweeps} from './owner-sweeps.ts';
import type {ProgramQueues} from './program-queues.ts';

type PauseParts = {core: OwnerCore; sweeps: OwnerSweeps; queues: ProgramQueues};

type Hold = ProgramDescription['holds'][number];

/** Longer than the timeouts of the export request that the dispatcher sends to the engine. */
const exportTimeoutMs = 6000;

const chooseRetention = (
	core: OwnerCore,
	program: ProgramDescription,
	upstreamId: UpstreamId,
	expectedMs: number,
): RetentionDecision => {
	const load = core.upstreams.load(upstreamId);
	const {policy, limits} = core.context.settings;
	return decideRetention(
		{
			cachedTokens: estimateCachedTokens(program),
			expectedPauseMs: expectedMs,
			programEnded: false,
			cacheUsedTokens: load.kvTokens,
			cacheCapacityTokens: load.kvCapacityTokens,
			// The dispatcher refuses the export when other copies use up this capacity.
			exportFreeTokens: limits.exportedCacheTokens,
		},
		policy,
	);
};

const recordRelease = async (
	core: OwnerCore,
	programId: ProgramId,
	{upstreamId, heldTurn}: Hold,
): Promise<void> => {
	await core.commit(programId, {
		type: 'record-release',
		nowMs: core.commandTimeMs(programId),
		programId,
		upstreamId,
		heldTurn,
	});
};

/** Asks the dispatcher to copy the memory; releases the hold of the copy when none was made. */
const copyMemory = async (
	core: OwnerCore,
	sweeps: OwnerSweeps,
	programId: ProgramId,
	holder: CopyHolder,
): Promise<boolean> => {
	const {daemonId, upstreamId} = holder;
	const holdName = formatCopyHolder(holder);
	await core.commit(programId, {
		type: 'record-hold',
		nowMs: core.commandTimeMs(programId),
		programId,
		upstreamId: holdName,
	});
	try {
		const {exported} = await core.peers.call<{exported: boolean}>(
			daemonId,
			'dispatch.exportMemory',
			{programId, upstreamId},
			{timeoutMs: exportTimeoutMs},
		);
		if (exported) {
			return true;
		}
	} catch (error) {
		core.context.retries.increment({step: 'export', reason: reasonOf(error)});
	}

	await dropCopy(core, sweeps, programId, holdName);
	return false;
};

/** Releases the hold of a failed copy; if this fails too, it is released when the program ends. */
const dropCopy = async (
	core: OwnerCore,
	sweeps: OwnerSweeps,
	programId: ProgramId,
	holdName: UpstreamId,
): Promise<void> => {
	try {
		await sweeps.deleteMemory(programId, holdName);
		const {holds} = await core.openProgram(programId);
		const hold = holds.find(({upstreamId}) => upstreamId === holdName);
		if (hold) {
			await recordRelease(core, programId, hold);
		}
	} catch (error) {
		core.context.retries.increment({
			step: 'drop-copy',
			reason: reasonOf(error),
		});
	}
};

/**
 * Moves the memory of a hold to an exported copy. The hold of the copy is recorded before the copy is
 * made, and the memory at the engine is freed only after it was made.
 */
const exportMemory = async (
	core: OwnerCore,
	sweeps: OwnerSweeps,
	programId: ProgramId,
	{upstreamId, heldTurn}: Hold,
): Promise<RetentionDecision> => {
	const program = await core.openProgram(programId);
	const hold = newestHold(program);
	const isOutdated =
		program.call !== undefined ||
		hold?.upstreamId !== upstreamId ||
		hold.heldTurn !== heldTurn;
	const dispatcher = findDispatcher(core, upstreamId);
	if (
		isOutdated ||
		!dispatcher ||
		!(await copyMemory(core, sweeps, programId, {...dispatcher, upstreamId}))
	) {
		return 'keep';
	}

	await sweeps.deleteMemory(programId, upstreamId);
	await recordRelease(core, programId, hold);
	return 'export';
};

/**
 * Decides what happens to the engine cache of a program during a pause, and exports it if so decided.
 *
 * @throws RefusedError when the program is unknown or has ended.
 */
export const pauseProgram = async (
	{core, sweeps, queues}: PauseParts,
	{programId, expectedMs}: {programId: ProgramId; expectedMs: number},
): Promise<{programId: ProgramId; decision: RetentionDecision}> => {
	const program = await core.openProgram(programId);
	const hold = newestHold(program);
	if (!hold || program.call) {
		return {programId, decision: 'keep'};
	}

	if (parseCopyHolder(hold.upstreamId)) {
		return {programId, decision: 'export'};
	}

	const decision = chooseRetention(core, program, hold.upstreamId, expectedMs);
	return {
		programId,
		decision:
			decision === 'export'
				? // No call of the program is accepted until the copy is made.
					await queues.run(programId, async () =>
						exportMemory(core, sweeps, programId, hold),
					)
				: decision,
	};
};
