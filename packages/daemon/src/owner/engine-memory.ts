import type {ProgramDescription} from '@marjoramcove/programs';

/** Approximate history bytes per token cached at an engine; only for estimates. */
const CACHED_BYTES_PER_TOKEN = 4;

/** Most recent hold of a program: that of the last attempt that used memory for it. */
export const newestHold = ({
	holds,
}: ProgramDescription): ProgramDescription['holds'][number] | undefined =>
	holds.toSorted((a, b) => b.heldTurn - a.heldTurn)[0];

/** Estimates how many tokens of a program the engine of its newest hold has cached. */
export const estimateCachedTokens = ({
	historyBytes,
}: ProgramDescription): number =>
	Math.floor(historyBytes / CACHED_BYTES_PER_TOKEN);
