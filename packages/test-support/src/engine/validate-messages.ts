import type {ChatMessage} from './generate-text.ts';

const KNOWN_ROLES = new Set([
	'system',
	'developer',
	'user',
	'assistant',
	'tool',
	'function',
]);

/** Validates chat messages as an engine with the OpenAI API does; returns the first problem, if any. */
export const validateMessages = (
	messages: ChatMessage[],
): string | undefined => {
	let pendingCallIds: string[] = [];
	for (const [index, message] of messages.entries()) {
		if (!KNOWN_ROLES.has(message.role)) {
			return `messages[${index}] has the unknown role ${message.role}`;
		}

		if (message.role !== 'tool') {
			if (pendingCallIds.length > 0) {
				return `messages[${index}] follows tool calls without results: ${pendingCallIds.join(', ')}`;
			}

			pendingCallIds = (message.tool_calls ?? []).map(({id}) => id);
		} else if (pendingCallIds.includes(message.tool_call_id ?? '')) {
			pendingCallIds = pendingCallIds.filter(
				(id) => id !== message.tool_call_id,
			);
		} else {
			return `messages[${index}] is the result of no tool call`;
		}
	}

	return undefined;
};
