import type {CallerId, ProgramId, RequestId} from '@marjoramcove/types';

/** Neither the names of teams nor header values can contain it. */
const SEPARATOR = '\u0000';

/**
 * Returns the id under which a program or a turn of a team is stored, so that ids of different teams never
 * meet, whatever ids callers choose. Without a team the id is stored as it is, as in earlier versions; state
 * daemons need not know about teams.
 *
 * @example
 * ```ts
 * const storedId = scopeId(programId, teamId);
 * ```
 */
export const scopeId = <Id extends ProgramId | RequestId>(
	id: Id,
	teamId: CallerId | undefined,
): Id => {
	if (teamId === undefined && !id.includes(SEPARATOR)) {
		return id;
	}

	// No team has an empty name.
	return `${teamId ?? ''}${SEPARATOR}${id}` as Id;
};

/**
 * Returns the id of a part of the text of a turn that is stored in several parts. Callers cannot name it.
 *
 * @example
 * ```ts
 * createPartId(turnId, 0);
 * ```
 */
export const createPartId = (turnId: RequestId, index: number): RequestId =>
	`${turnId}${SEPARATOR}part-${index}` as RequestId;

/**
 * Returns the id of the program under which the parts of a turn are settled, so that they do not displace the
 * settled turns that the caller's program remembers.
 *
 * @example
 * ```ts
 * createPartsProgramId(turnId);
 * ```
 */
export const createPartsProgramId = (turnId: RequestId): ProgramId =>
	`${turnId}${SEPARATOR}parts` as ProgramId;
