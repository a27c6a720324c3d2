import type {StreamedBody} from '@marjoramcove/ingress';
import type {GroupId} from '@marjoramcove/types';
import {CHAIN_PAGE_BYTES} from '../peer-messages.ts';

/** Text of a turn and all turns before it, oldest first. Turns never change, and so does their text. */
export type Chain = {
	/** Shard that stores it. */
	groupId: GroupId;
	lengthBytes: number;
	/** Start of the text; all of it, unless the chain is long. */
	firstPage: Uint8Array;
	/**
	 * Reads the text in pages, oldest first.
	 *
	 * @throws MarjoramcoveError if a page cannot be read before the deadline, on the monotonic clock.
	 */
	readPages: (deadlineMs: number) => AsyncIterable<Uint8Array>;
};

/** Whether the first page is the whole text. */
export const isOnePage = ({firstPage, lengthBytes}: Chain): boolean =>
	firstPage.length === lengthBytes;

/**
 * Returns the body of a turn for its server: the text of the chain and then the new input. A long chain is read
 * while it is sent, so that a daemon holds one page of it at a time.
 *
 * @example
 * ```ts
 * const body = createTurnBody(chain, input, request.deadlineMs);
 * ```
 */
export const createTurnBody = (
	chain: Chain | undefined,
	input: Uint8Array,
	deadlineMs: number,
): Uint8Array | StreamedBody => {
	if (!chain) {
		return input;
	}

	if (isOnePage(chain)) {
		return Buffer.concat([chain.firstPage, input]);
	}

	return {
		lengthBytes: chain.lengthBytes + input.length,
		async *read() {
			yield* chain.readPages(deadlineMs);
			yield input;
		},
	};
};

/**
 * Returns the memory that the body of a turn needs in addition to its input: the first page, and either the
 * joined body or the page that is being sent.
 */
export const measureTurnBody = (
	chain: Chain | undefined,
	input: Uint8Array,
): number => {
	if (!chain) {
		return 0;
	}

	const {firstPage} = chain;
	return (
		firstPage.length +
		(isOnePage(chain) ? firstPage.length + input.length : CHAIN_PAGE_BYTES)
	);
};
