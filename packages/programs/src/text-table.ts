/** Roles of history entries, as in chat messages. `error` marks the message of a failed call. */
export const HISTORY_ROLES = [
	'system',
	'user',
	'assistant',
	'tool',
	'developer',
	'function',
] as const;

const MAX_TEXT_LENGTH = 64;
/** Rows refer to a text by an index of one byte. */
const MAX_TEXTS = 256;

/** Texts that many rows share (roles, content types, reasons); rows contain their indexes. */
export type TextTable = string[];

/** Index of the text that replaces texts that are too long or do not fit into a full table. */
const OTHER_INDEX = 0;

/** Texts at the start of each table, so that they are available even when the table is full. */
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

/** Creates a table that contains the reserved texts. */
export const createTextTable = (): TextTable => [...RESERVED_TEXTS];

/**
 * Returns the index of a text, which is added to the table if necessary.
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
