import {
	hashHistoryContent,
	type HistoryEntry,
	type HistoryText,
} from '@marjoramcove/programs';

const isSame = (entry: HistoryEntry, message: HistoryText): boolean =>
	entry.role === message.role &&
	entry.lengthBytes === Buffer.byteLength(message.content) &&
	entry.hash === hashHistoryContent(message.content);

/**
 * Messages of a request that are not in the history yet. Clients of the OpenAI API send the whole
 * conversation each time: leading system messages that the history begins with are dropped, then the
 * longest beginning of the rest that equals the end of the history.
 *
 * @example
 * ```ts
 * const fresh = planMessages(historyEntries(state, programId), request.messages);
 * ```
 */
export const planMessages = (
	entries: readonly HistoryEntry[],
	messages: readonly HistoryText[],
): HistoryText[] => {
	let start = 0;
	while (
		start < messages.length &&
		start < entries.length &&
		(messages[start]!.role === 'system' ||
			messages[start]!.role === 'developer') &&
		isSame(entries[start]!, messages[start]!)
	) {
		start++;
	}

	const rest = messages.slice(start);
	const longest = Math.min(rest.length, entries.length - start);
	for (let overlap = longest; overlap > 0; overlap--) {
		const offset = entries.length - overlap;
		if (
			rest
				.slice(0, overlap)
				.every((message, index) => isSame(entries[offset + index]!, message))
		) {
			return rest.slice(overlap);
		}
	}

	return rest;
};
