import {createHash} from 'node:crypto';

/** Characters per token of the fake engine, for prompts and answers. */
export const CHARACTERS_PER_TOKEN = 4;

/** A chat message received by the engine. */
export type ChatMessage = {
	role: string;
	content: string;
	tool_calls?: Array<{id: string}>;
	tool_call_id?: string;
};

/** Returns the number of tokens of a text. */
export const countTokens = (text: string): number =>
	Math.ceil(text.length / CHARACTERS_PER_TOKEN);

/** Joins the contents of the messages to the text by which prefixes are compared. */
export const joinPrompt = (messages: ChatMessage[]): string =>
	messages.map((message) => message.content).join('\n');

/**
 * Returns the number of tokens that an engine generates for a prompt: N of `[tokens=N]` in the last
 * message, or else the default, limited to `maxTokens`.
 */
export const countAnswerTokens = (
	messages: ChatMessage[],
	defaultTokens: number,
	maxTokens = Number.POSITIVE_INFINITY,
): number => {
	const match = /\[tokens=(?<count>\d+)\]/u.exec(
		messages.at(-1)?.content ?? '',
	);
	return Math.min(Number(match?.groups?.count ?? defaultTokens), maxTokens);
};

/**
 * Generates token `index` of the answer to a prompt: three letters and a space, derived from a hash.
 *
 * Engines with different salts give different answers to the same prompt, as sampling does. A retry on
 * another engine that ignores the delivered text is therefore visible in the answer.
 */
export const generateToken = (
	prompt: string,
	index: number,
	salt = '',
): string => {
	const digest = createHash('sha1')
		.update(`${salt}|${prompt}|${index}`)
		.digest();
	const letters = [0, 1, 2].map((position) =>
		String.fromCodePoint(97 + (digest[position]! % 26)),
	);
	return `${letters.join('')} `;
};

/**
 * Generates the answer to a prompt, from token `from` up to token `count`.
 *
 * @example
 * ```ts
 * generateText('hello', {count: 2}); // for example 'qhd vbu '
 * ```
 */
export const generateText = (
	prompt: string,
	{from = 0, count, salt}: {from?: number; count: number; salt?: string},
): string =>
	Array.from({length: Math.max(0, count - from)}, (_, index) =>
		generateToken(prompt, from + index, salt),
	).join('');
