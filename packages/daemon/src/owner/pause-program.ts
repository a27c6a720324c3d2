import {decideRetention, type RetentionDecision} from '@marjoramcove/scheduler';
import type {ProgramId} from '@marjoramcove/types';
import type {OwnerCore} from './owner-core.ts';
import type {OwnerSweeps} from './owner-sweeps.ts';

/**
 * Decides what happens to the cache of a program over a pause, and does it.
 *
 * @throws RefusedError when the program is unknown or has ended.
 */
export const pauseProgram = async (
	core: OwnerCore,
	sweeps: OwnerSweeps,
	{programId, expectedMs}: {programId: ProgramId; expectedMs: number},
): Promise<{programId: ProgramId; decision: RetentionDecision}> => {
	const program = await core.openProgram(programId);
	const hold = program.holds.toSorted((a, b) => b.heldTurn - a.heldTurn)[0];
	if (!hold || program.call) {
		return {programId, decision: 'keep'};
	}

	const load = core.upstreams.load(hold.upstreamId);
	const decision = decideRetention(
		{
			cachedTokens: Math.floor(program.historyBytes / 4),
			expectedPauseMs: expectedMs,
			programEnded: false,
			cacheUsedTokens: load.kvTokens,
			cacheCapacityTokens: load.kvCapacityTokens,
			exportFreeTokens: 0,
		},
		core.context.settings.policy,
	);
	if (decision === 'drop') {
		await sweeps.deleteMemory(programId, hold.upstreamId);
		await core.commit(programId, {
			type: 'record-release',
			nowMs: core.commandTimeMs(programId),
			programId,
			upstreamId: hold.upstreamId,
			heldTurn: hold.heldTurn,
		});
	}

	return {programId, decision};
};
