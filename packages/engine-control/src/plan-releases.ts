import type {ProgramId} from '@marjoramcove/types';

/** Memory that an engine reports as held for a program. */
export type HeldProgram = {programId: ProgramId; tokens: number};

/**
 * Programs whose memory an engine must release: those that have ended or are unknown. The caller
 * passes only programs of shards that it owns, because others are unknown to it.
 *
 * @example
 * ```ts
 * planReleases(await readHeld(engine), (programId) => isProgramLive(state, programId));
 * ```
 */
export const planReleases = (
	held: readonly HeldProgram[],
	isLive: (programId: ProgramId) => boolean,
): ProgramId[] =>
	[...new Set(held.map(({programId}) => programId))].filter(
		(programId) => !isLive(programId),
	);
