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

		ranges.push({offset: turn.offset, lengthBytes: turn.lengthBytes});
	}

	return ranges.toReversed();
};

/** Returns the length of the joined texts. */
export const sumLengths = (ranges: readonly TextRange[]): number => {
	let sumBytes = 0;
	for (const {lengthBytes} of ranges) {
		sumBytes += lengthBytes;
	}

	return sumBytes;
};

/**
 * Cuts a page out of the joined texts.
 *
 * @param page - position in the joined texts; the part of it after their end is ignored.
 * @returns the parts of the ranges that the page consists of, in order.
 * @example
 * ```ts
 * cutPage([{offset: 10, lengthBytes: 4}, {offset: 50, lengthBytes: 4}], {offset: 3, lengthBytes: 2});
 * // [{offset: 13, lengthBytes: 1}, {offset: 50, lengthBytes: 1}]
 * ```
 */
export const cutPage = (
	ranges: readonly TextRange[],
	page: TextRange,
): TextRange[] => {
	const parts: TextRange[] = [];
	const pageEnd = page.offset + page.lengthBytes;
	let position = 0;
	for (const {offset, lengthBytes} of ranges) {
		const start = Math.max(position, page.offset);
		const end = Math.min(position + lengthBytes, pageEnd);
		if (start < end) {
			parts.push({offset: offset + start - position, lengthBytes: end - start});
		}

		position += lengthBytes;
	}

	return parts;
};
