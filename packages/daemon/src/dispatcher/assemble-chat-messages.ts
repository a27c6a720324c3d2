import type {HistoryText} from '@marjoramcove/programs';

/** Prefix of a history text that holds a whole chat message as JSON instead of plain content. */
export const messageMarker = '\u0000json:';

/** A chat message in the format of the OpenAI API. */
export type ChatMessage = {role: string} & Record<string, unknown>;

/**
 * Parses the message of a marked text, whose role is stored separately. A tool or a model can answer
 * with the marker too, so a text that holds no JSON object is plain content.
 */
export const readMarkedMessage = (
	content: string,
): Record<string, unknown> | undefined => {
	if (!content.startsWith(messageMarker)) {
		return undefined;
	}

	try {
		const message: unknown = JSON.parse(content.slice(messageMarker.length));
		return typeof message === 'object' && message !== null
			? (message as Record<string, unknown>)
			: undefined;
	} catch {
		return undefined;
	}
};

const toChatMessage = ({role, content}: HistoryText): ChatMessage => ({
	...(readMarkedMessage(content) ?? {content}),
	// The stored role overrides any role inside the text.
	role,
});

type ToolCall = {id?: unknown};

const readToolCalls = ({tool_calls: calls}: ChatMessage): ToolCall[] =>
	Array.isArray(calls) ? (calls as ToolCall[]) : [];

/** Assigns each result the id of its tool call, and makes the error of a failed tool call its result. */
const assignToolCallIds = (texts: readonly HistoryText[]): ChatMessage[] => {
	const messages: ChatMessage[] = [];
	let pendingIds: unknown[] = [];
	for (const text of texts) {
		const isError = text.role === 'error';
		const [callId] = pendingIds;
		if (isError && callId === undefined) {
			continue;
		}

		const message = toChatMessage(
			isError ? {role: 'tool', content: `error: ${text.content}`} : text,
		);
		if (message.role === 'tool') {
			message.tool_call_id ??= callId;
			pendingIds = pendingIds.filter((id) => id !== message.tool_call_id);
		} else {
			pendingIds = readToolCalls(message).map(({id}) => id);
		}

		messages.push(message);
	}

	return messages;
};

/** Tool call ids of the results that directly follow a message. */
const resultIdsAfter = (messages: ChatMessage[], index: number) => {
	const ids = new Set<unknown>();
	for (let next = index + 1; messages[next]?.role === 'tool'; next++) {
		ids.add(messages[next]!.tool_call_id);
	}

	return ids;
};

const removeUnansweredCalls = (
	message: ChatMessage,
	resultIds: Set<unknown>,
): ChatMessage | undefined => {
	const calls = readToolCalls(message);
	if (calls.length === 0) {
		return message;
	}

	const answered = calls.filter(({id}) => resultIds.has(id));
	const {tool_calls: _, ...rest} = message;
	if (answered.length > 0) {
		return {...rest, tool_calls: answered};
	}

	return rest.content ? rest : undefined;
};

/**
 * Converts a history to chat messages that engines accept. Engines reject unknown roles, results without
 * a tool call, and tool calls without a result. So the error of a failed call becomes the result of the
 * tool call before it, or is left out when a model call failed; a result without an id belongs to the
 * pending tool call; and a tool call that the caller ran under another id, or not at all, is left out.
 *
 * @example
 * ```ts
 * const messages = assembleChatMessages(payload.messages);
 * ```
 */
export const assembleChatMessages = (
	texts: readonly HistoryText[],
): ChatMessage[] =>
	assignToolCallIds(texts).flatMap(
		(message, index, messages) =>
			removeUnansweredCalls(message, resultIdsAfter(messages, index)) ?? [],
	);
