import type {RequestId} from '@marjoramcove/types';
import type {TurnsState} from './turns-state.ts';

/** Byte range in the history stream. */
export type TextRange = {offset: number; lengthBytes: number};

/**
 * Finds the texts of a turn and of all its predecessors, oldest first.
 *
 * @returns `undefined` when the turn or one of its predecessors is not in the state.
 * @example
 * ```ts
 * const ranges = findChain(state, asId<RequestId>('40c8f1a7b3e9265d'));
 * ```
 */
export const findChain = (
	{turns}: TurnsState,
	turnId: RequestId,
): TextRange[] | undefined => {
	const ranges: TextRange[] = [];
	for (
		let nextId: RequestId | undefined = turnId;
		nextId !== undefined;
		nextId = turns.get(nextId)!.previousId
	) {
		const turn = turns.get(nextId);
		if (!turn) {
			return undefined;
		}

		ranges.unshift({offset: turn.offset, lengthBytes: turn.lengthBytes});
	}

	return ranges;
};
