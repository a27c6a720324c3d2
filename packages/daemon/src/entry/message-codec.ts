import type {HistoryText} from '@marjoramcove/programs';
import {messageMarker} from '../dispatcher/run-model-call.ts';

/** A chat message as a client sends it. */
export type ClientMessage = {role: string; content?: unknown} & Record<
	string,
	unknown
>;

/**
 * History text of a chat message. A message with more than a role and a plain text, such as tool calls
 * or content parts, is kept as JSON.
 */
export const encodeMessage = ({role, ...rest}: ClientMessage): HistoryText => {
	const {content} = rest;
	return typeof content === 'string' && Object.keys(rest).length === 1
		? {role, content}
		: {role, content: messageMarker + JSON.stringify(rest)};
};

/** Chat message of a history text, with a content that is always a string. */
export const decodeMessage = ({
	role,
	content,
}: HistoryText): ClientMessage & {content: string} => {
	if (!content.startsWith(messageMarker)) {
		return {role, content};
	}

	const message = JSON.parse(
		content.slice(messageMarker.length),
	) as ClientMessage;
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

/** Message of a recorded answer. */
export const decodeAnswer = (content: string) =>
	decodeMessage({role: 'assistant', content});
