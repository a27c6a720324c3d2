import type {ResponseStart} from './upstream-client.ts';

const STATUS_LINE_PATTERN = /HTTP\/\d\.\d \d{3}/u;

/**
 * Whether a response head contains the start of another one. A server that stops within a head and then
 * writes the next response makes one head of both, with the status of the first and the id of the second.
 *
 * @example
 * ```ts
 * hasMergedHeads({status: 503, headers: [['X-Reason', 'fuHTTP/1.1 200 OK']]}); // true
 * ```
 */
export const hasMergedHeads = ({
	headers,
	statusText = '',
}: ResponseStart): boolean =>
	STATUS_LINE_PATTERN.test(statusText) ||
	headers.some(([, value]) => STATUS_LINE_PATTERN.test(value));
