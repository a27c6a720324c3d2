import type {HistoryText} from '@marjoramcove/programs';
import {
	messageMarker,
	readMarkedMessage,
} from '../dispatcher/assemble-chat-messages.ts';

/** A chat message as a client sends it. */
export type ClientMessage = {role: string; content?: unknown} & Record<
	string,
	unknown
>;

/**
 * Encodes a chat message as a history text. A message with more than a role and plain text, such as
 * tool calls or content parts, is stored as JSON.
 */
export const encodeMessage = ({role, ...rest}: ClientMessage): HistoryText => {
	const {content} = rest;
	const isPlain =
		typeof content === 'string' &&
		Object.keys(rest).length === 1 &&
		!content.startsWith(messageMarker);
	return isPlain
		? {role, content}
		: {role, content: messageMarker + JSON.stringify(rest)};
};

/** Decodes a history text to a chat message whose content is always a string. */
export const decodeMessage = ({
	role,
	content,
}: HistoryText): ClientMessage & {content: string} => {
	const message = readMarkedMessage(content);
	if (!message) {
		return {role, content};
	}

	return {
		...message,
		role,
		content:
			typeof message.content === 'string'
				? message.content
				: message.content
					? JSON.stringify(message.content)
					: '',
	};
};

/** Decodes the text of a recorded answer to a chat message. */
export const decodeAnswer = (content: string) =>
	decodeMessage({role: 'assistant', content});
