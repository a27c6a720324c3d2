/** Roles of history entries, as in chat messages. `error` marks the message of a failed call. */
export const HISTORY_ROLES = [
	'system',
	'user',
	'assistant',
	'tool',
	'developer',
	'function',
] as const;

/** Longest text and largest number of texts; rows refer to a text by one byte. */
const MAX_TEXT_LENGTH = 64;
const MAX_TEXTS = 256;

/** Texts that many rows share (roles, content types, reasons); rows hold the index. */
export type TextTable = string[];

/** Index of the text that stands for one that is too long or came after the table was full. */
const OTHER_INDEX = 0;

/** The first texts of each table, so that a full table never affects them. */
const RESERVED_TEXTS = [
	'other',
	'error',
	...HISTORY_ROLES,
	'application/json',
	'text/event-stream',
	'wall-time-limit',
	'turn-limit',
	'token-budget',
	'tool-timeout',
	'call-timeout',
	'dispatcher-lost',
	'program-ended',
	'turn-out-of-order',
	'call-in-progress',
	'history-too-large',
	'invalid-input',
];

/** Creates a table with the reserved texts. */
export const createTextTable = (): TextTable => [...RESERVED_TEXTS];

/**
 * Finds or adds a text and returns its index.
 *
 * @example
 * ```ts
 * const index = internText(table, 'application/json');
 * ```
 */
export const internText = (table: TextTable, text: string): number => {
	const found = table.indexOf(text);
	if (found !== -1) {
		return found;
	}

	if (text.length > MAX_TEXT_LENGTH || table.length >= MAX_TEXTS) {
		return OTHER_INDEX;
	}

	table.push(text);
	return table.length - 1;
};
