import type {ProgramDescription} from '@marjoramcove/programs';

/** Bytes of a history per token that an engine has cached; a rough figure for estimates. */
const CACHED_BYTES_PER_TOKEN = 4;

/** Hold of the last attempt that used memory for a program. */
export const newestHold = ({
	holds,
}: ProgramDescription): ProgramDescription['holds'][number] | undefined =>
	holds.toSorted((a, b) => b.heldTurn - a.heldTurn)[0];

/** Tokens that the engine of the newest hold is expected to have cached for a program. */
export const estimateCachedTokens = ({
	historyBytes,
}: ProgramDescription): number =>
	Math.floor(historyBytes / CACHED_BYTES_PER_TOKEN);
