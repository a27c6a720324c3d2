import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	type ErrorBody,
	toErrorBody,
	ValidationError,
} from '@marjoramcove/errors';
import {z, type ZodType} from 'zod';
import {createRefusedError} from '../daemon-context.ts';

/** Request that is passed to the route handlers. */
export type HttpRequest = IncomingMessage & {
	params: Record<string, string>;
	query: Record<string, string | string[]>;
	path: string;
	originalUrl: string;
	/** Complete body, read before the handler runs. */
	rawBody: Buffer;
};

export type Handler = (
	request: HttpRequest,
	response: ServerResponse,
) => Promise<void>;

const statusByReason: Record<string, number> = {
	'revision-conflict': 409,
	'request-id-reused': 409,
	'turn-out-of-order': 409,
	'call-in-progress': 409,
	'program-exists': 409,
	'program-ended': 409,
	'token-budget': 409,
	'turn-limit': 409,
	'wall-time-limit': 409,
	'no-selector-matches': 403,
	'program-unknown': 404,
	'request-unknown': 404,
	'path-unknown': 404,
	'request-too-large': 413,
	'too-many-headers': 431,
	'history-too-large': 413,
	'peer-message-too-large': 413,
	'command-too-large': 413,
	'answer-too-large': 413,
	'invalid-input': 422,
	overloaded: 429,
	'deadline-unreachable': 429,
	'engine-queue-full': 429,
	'program-queue-full': 429,
	'proposal-queue-full': 429,
	'tool-timeout': 504,
	'call-timeout': 504,
	'peer-timeout': 504,
	'program-queue-timeout': 504,
	'service-refused': 502,
	'service-error': 502,
	'internal-error': 500,
};

/** HTTP status code for an error body. */
export const httpStatusOf = ({reason, verdict}: ErrorBody): number =>
	statusByReason[reason] ?? (verdict === 'not-run' ? 503 : 504);

/** Sends a JSON response, unless the headers have been sent or the connection is closed. */
export const sendJson = (
	response: ServerResponse,
	status: number,
	body: unknown,
	headers: Record<string, string> = {},
): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
};

/** Error body for a caller; the addresses of other daemons are copied from `data` to the top level. */
export const toCallerErrorBody = (
	error: unknown,
): ErrorBody & {addresses?: unknown} => {
	const body = toErrorBody(error);
	return body.data?.addresses === undefined
		? body
		: {...body, addresses: body.data.addresses};
};

/** Sends an error with its HTTP status code, never with a stack trace. */
export const sendError = (response: ServerResponse, error: unknown): void => {
	const body = toCallerErrorBody(error);
	const retryAfterMs = body.data?.retryAfterMs;
	sendJson(
		response,
		httpStatusOf(body),
		{error: body},
		typeof retryAfterMs === 'number'
			? {'retry-after': String(Math.ceil(retryAfterMs / 1000))}
			: {},
	);
};

/**
 * Reads a body up to a size limit. The rest of a larger body is discarded, and reading stops above four
 * times the limit.
 *
 * @throws RefusedError `request-too-large`; nothing of the request was used.
 */
export const readBody = async (
	request: IncomingMessage,
	limitBytes: number,
): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes <= limitBytes) {
			chunks.push(chunk);
		} else if (sizeBytes > 4 * limitBytes) {
			break;
		}
	}

	if (sizeBytes > limitBytes) {
		throw createRefusedError(
			'request-too-large',
			`The request has more than ${limitBytes} bytes.`,
			'Send a shorter request or ask the operator to raise limits.requestSizeBytes.',
		);
	}

	return Buffer.concat(chunks);
};

/**
 * Parses a JSON body.
 *
 * @throws ValidationError with the paths of the invalid keys.
 */
export const parseBody = <Schema extends ZodType>(
	{rawBody}: HttpRequest,
	schema: Schema,
): z.output<Schema> => {
	let value: unknown;
	try {
		value = rawBody.length === 0 ? {} : JSON.parse(rawBody.toString('utf8'));
	} catch (error) {
		throw new ValidationError(
			`The body is not JSON: ${(error as Error).message}.`,
			'Send a JSON document.',
		);
	}

	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		throw new ValidationError(
			z.prettifyError(parsed.error).replaceAll('\n', ' '),
			'Correct the named fields.',
		);
	}

	return parsed.data;
};

/** Number of header fields that the parser keeps of a request; it drops the others without an error. */
export const MAX_HEADER_FIELDS = 1000;

/** Refuses a request of which the parser may have dropped header fields; a polka middleware. */
export const refuseTruncatedHead = (
	{rawHeaders}: IncomingMessage,
	response: ServerResponse,
	next: () => void,
): void => {
	if (rawHeaders.length < MAX_HEADER_FIELDS * 2) {
		next();
		return;
	}

	sendError(
		response,
		createRefusedError(
			'too-many-headers',
			`The request has ${MAX_HEADER_FIELDS} headers or more.`,
			'Send fewer headers.',
		),
	);
};

/** Value of a header; the first one when the header is repeated. */
export const headerOf = (
	request: IncomingMessage,
	name: string,
): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};
