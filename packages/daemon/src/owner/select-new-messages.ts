import {
	hashHistoryContent,
	type HistoryEntry,
	type HistoryText,
} from '@marjoramcove/programs';
import {readMarkedMessage} from '../dispatcher/assemble-chat-messages.ts';

const hasContent = (entry: HistoryEntry, content: string): boolean =>
	entry.lengthBytes === Buffer.byteLength(content) &&
	entry.hash === hashHistoryContent(content);

/** Content of a tool result that a client sends with the id of its tool call. */
const toolResultContent = ({
	role,
	content,
}: HistoryText): string | undefined => {
	const toolResult =
		role === 'tool' ? readMarkedMessage(content)?.content : undefined;
	return typeof toolResult === 'string' ? toolResult : undefined;
};

const matchesMessage = (entry: HistoryEntry, message: HistoryText): boolean => {
	if (entry.role !== message.role) {
		return false;
	}

	const toolResult = toolResultContent(message);
	return (
		hasContent(entry, message.content) ||
		(toolResult !== undefined && hasContent(entry, toolResult))
	);
};

/**
 * Counts the entries at the end of a range that are missing from the conversation of the client: the
 * message of a failed call, or a tool call made through this system with its result. The tool call
 * counts alone when it failed, or when the client has the result under the tool call of the model.
 */
const countServerOnlyEntries = (
	entries: readonly HistoryEntry[],
	end: number,
	message: HistoryText,
): number => {
	const last = entries[end - 1]!;
	if (last.role === 'error') {
		return 1;
	}

	if (last.role === 'tool' && message.role !== 'tool') {
		return 2;
	}

	const next = entries[end]?.role;
	const isToolRequest =
		last.role === 'assistant' && (next === 'tool' || next === 'error');
	return isToolRequest ? 1 : 0;
};

/** Whether the history ends with the messages, not counting entries that the client does not have. */
const matchesHistoryEnd = (
	entries: readonly HistoryEntry[],
	messages: readonly HistoryText[],
): boolean => {
	let end = entries.length;
	for (const message of messages.toReversed()) {
		while (end > 0 && !matchesMessage(entries[end - 1]!, message)) {
			const serverOnlyEntries = countServerOnlyEntries(entries, end, message);
			if (serverOnlyEntries === 0) {
				return false;
			}

			end -= serverOnlyEntries;
		}

		if (end <= 0) {
			return false;
		}

		end--;
	}

	return true;
};

/**
 * Selects the messages of a request that are not in the history yet. Clients of the OpenAI API send the
 * whole conversation each time: leading system messages that the history begins with are dropped, then
 * the longest prefix of the rest that matches the end of the history. Failed calls, and tool calls made
 * through this system, may be missing from the conversation of the client.
 *
 * @example
 * ```ts
 * const newMessages = selectNewMessages(historyEntries(state, programId), request.messages);
 * ```
 */
export const selectNewMessages = (
	entries: readonly HistoryEntry[],
	messages: readonly HistoryText[],
): HistoryText[] => {
	let start = 0;
	while (
		start < messages.length &&
		start < entries.length &&
		(messages[start]!.role === 'system' ||
			messages[start]!.role === 'developer') &&
		matchesMessage(entries[start]!, messages[start]!)
	) {
		start++;
	}

	const rest = messages.slice(start);
	const conversation = entries.slice(start);
	const maxOverlap = Math.min(rest.length, conversation.length);
	for (let overlap = maxOverlap; overlap > 0; overlap--) {
		if (matchesHistoryEnd(conversation, rest.slice(0, overlap))) {
			return rest.slice(overlap);
		}
	}

	return rest;
};
