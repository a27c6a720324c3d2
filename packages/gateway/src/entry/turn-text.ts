import {type Chain, isOnePage} from './chain.ts';

/** Length up to which the text of a turn is stored at once; a replicated command may have 8 MiB. */
export const MAX_TEXT_BYTES = 4 * 1024 * 1024;

/** Length of the parts in which a longer text is stored. */
export const PART_BYTES = 1024 * 1024;

/** Text of a turn that has ended. */
export type TurnText = {
	/** Chain that is copied in front of the turn, because another shard stores it. */
	copiedChain: Chain | undefined;
	input: Uint8Array;
	output: Uint8Array;
};

/**
 * Joins a text that is short enough to be stored at once.
 *
 * @returns `undefined` for a longer text, see {@link splitText}.
 */
export const joinText = ({
	copiedChain,
	input,
	output,
}: TurnText): Uint8Array | undefined => {
	const chainBytes = copiedChain?.lengthBytes ?? 0;
	if (
		chainBytes + input.length + output.length > MAX_TEXT_BYTES ||
		(copiedChain && !isOnePage(copiedChain))
	) {
		return undefined;
	}

	return Buffer.concat([
		...(copiedChain ? [copiedChain.firstPage] : []),
		input,
		output,
	]);
};

function* cut(bytes: Uint8Array): Generator<Uint8Array> {
	for (let offset = 0; offset < bytes.length; offset += PART_BYTES) {
		yield bytes.subarray(offset, offset + PART_BYTES);
	}
}

/**
 * Splits a long text into parts, in order. A copied chain is read while its parts are stored.
 *
 * @param deadlineMs - time by which the chain must be read, on the monotonic clock.
 * @example
 * ```ts
 * for await (const part of splitText(text, deadlineMs)) {
 *   await store(part);
 * }
 * ```
 */
export async function* splitText(
	{copiedChain, input, output}: TurnText,
	deadlineMs: number,
): AsyncGenerator<Uint8Array> {
	if (copiedChain) {
		for await (const page of copiedChain.readPages(deadlineMs)) {
			yield* cut(page);
		}
	}

	yield* cut(input);
	yield* cut(output);
}
