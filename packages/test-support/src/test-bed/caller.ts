import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import {type StreamedCall, startStreamedCall} from './streamed-call.ts';

/** HTTP response of a daemon with its parsed body. */
export type Answer<Body = Record<string, unknown>> = {
	status: number;
	body: Body;
};

/** Error body of the HTTP API. */
export type ApiError = {
	message: string;
	reason: string;
	verdict: string;
	hint: string;
};

/** Returns the error of a response, if it has one. */
export const errorOf = (answer: {body: unknown}): ApiError | undefined =>
	(answer.body as {error?: ApiError} | undefined)?.error;

export type ProgramRequest = {
	labels?: Record<string, string>;
	callerId?: string;
	budget?: {tokens?: number; turns?: number; wallTimeMs?: number};
	parent?: string;
	operationId?: string;
};

export type CallOptions = {
	requestId?: string;
	turn?: number;
	timeoutMs?: number;
};

export type ModelCallOptions = CallOptions & {
	model?: string;
	maxTokens?: number;
	lastEventId?: string;
	stream?: boolean;
};

/**
 * HTTP client of one daemon, with its own connection pool.
 *
 * @example
 * ```ts
 * const caller = new Caller('127.0.0.1:8101');
 * const programId = await caller.openProgram({labels: {agent: 'entry-coaching'}});
 * const call = caller.streamModel(programId, 'Which class fits? [tokens=40]');
 * const {text} = await call.finished;
 * ```
 */
export class Caller {
	readonly #address: string;
	readonly #agent = new Agent({connections: 64});

	constructor(address: string) {
		this.#address = address;
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Sends a request and parses the response; throws when there is none. */
	async send<Body = Record<string, unknown>>(
		method: 'GET' | 'POST',
		path: string,
		options: {
			body?: unknown;
			headers?: Record<string, string>;
			timeoutMs?: number;
		} = {},
	): Promise<Answer<Body>> {
		const timeoutMs = options.timeoutMs ?? 30_000;
		const answer = await request(`http://${this.#address}${path}`, {
			method,
			dispatcher: this.#agent,
			headers: {
				...(options.body !== undefined && {
					'content-type': 'application/json',
				}),
				...options.headers,
			},
			...(options.body !== undefined && {body: JSON.stringify(options.body)}),
			signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await answer.body.text();
		return {status: answer.statusCode, body: parseBody(text) as Body};
	}

	/**
	 * Opens a program and returns its id.
	 *
	 * @throws Error with the response when the daemon refuses the request.
	 */
	async openProgram(options: ProgramRequest = {}): Promise<string> {
		const answer = await this.tryOpenProgram(options);
		if (answer.status !== 201) {
			throw new Error(
				`The program was not opened: ${answer.status} ${JSON.stringify(answer.body)}`,
			);
		}

		return answer.body.programId as string;
	}

	async tryOpenProgram(options: ProgramRequest = {}): Promise<Answer> {
		return this.send('POST', '/v1/programs', {
			body: {
				labels: {agent: 'entry-coaching'},
				operationId: randomUUID(),
				...options,
			},
		});
	}

	/** Calls a model without streaming. */
	async callModel(
		programId: string,
		message: string,
		options: ModelCallOptions = {},
	): Promise<Answer> {
		return this.send('POST', '/v1/chat/completions', {
			headers: callHeaders(programId, options),
			body: modelBody(message, {...options, stream: false}),
			timeoutMs: options.timeoutMs ?? 60_000,
		});
	}

	/** Calls a model and reads the response as a stream. */
	streamModel(
		programId: string,
		message: string,
		options: ModelCallOptions = {},
	): StreamedCall {
		return startStreamedCall(this.#agent, {
			method: 'POST',
			url: `http://${this.#address}/v1/chat/completions`,
			headers: {
				'content-type': 'application/json',
				...callHeaders(programId, options),
				...(options.lastEventId !== undefined && {
					'last-event-id': options.lastEventId,
				}),
			},
			body: JSON.stringify(modelBody(message, {...options, stream: true})),
			timeoutMs: options.timeoutMs ?? 60_000,
		});
	}

	/** Calls a tool; `operation` has the form `service/operation`. */
	async callTool<Body = Record<string, unknown>>(
		programId: string,
		operation: string,
		input: unknown,
		options: CallOptions = {},
	): Promise<Answer<Body>> {
		return this.send('POST', `/v1/tools/${operation}`, {
			headers: callHeaders(programId, options),
			body: input,
			timeoutMs: options.timeoutMs ?? 60_000,
		});
	}

	/** Reads the outcome of a request. */
	async readRequest(programId: string, requestId: string): Promise<Answer> {
		return this.send('GET', `/v1/programs/${programId}/requests/${requestId}`);
	}

	async readProgram(programId: string): Promise<Answer> {
		return this.send('GET', `/v1/programs/${programId}`);
	}

	/** Reads the role and content of each history entry. */
	async readHistory(
		programId: string,
	): Promise<Array<{role: string; content: string}>> {
		const answer = await this.send<{
			messages?: Array<{role: string; content: string}>;
			entries?: Array<{role: string; content: string}>;
		}>('GET', `/v1/programs/${programId}/history`);
		const entries = answer.body.entries ?? answer.body.messages;
		if (answer.status !== 200 || !entries) {
			throw new Error(
				`The history was not read: ${answer.status} ${JSON.stringify(answer.body)}`,
			);
		}

		return entries.map(({role, content}) => ({role, content}));
	}

	async endProgram(programId: string): Promise<Answer> {
		return this.send('POST', `/v1/programs/${programId}/end`, {body: {}});
	}

	async pauseProgram(programId: string, expectedMs: number): Promise<Answer> {
		return this.send('POST', `/v1/programs/${programId}/pause`, {
			body: {expectedMs},
		});
	}
}

const parseBody = (text: string): unknown => {
	try {
		return text === '' ? {} : JSON.parse(text);
	} catch {
		return {text};
	}
};

const callHeaders = (
	programId: string,
	options: CallOptions,
): Record<string, string> => ({
	'x-marjoramcove-program': programId,
	...(options.requestId !== undefined && {
		'x-marjoramcove-request': options.requestId,
		'x-marjoramcove-restart': 'accept',
	}),
	...(options.turn !== undefined && {
		'x-marjoramcove-turn': String(options.turn),
	}),
});

const modelBody = (message: string, options: ModelCallOptions) => ({
	model: options.model ?? 'agent-large',
	messages: [{role: 'user', content: message}],
	stream: options.stream,
	...(options.maxTokens !== undefined && {max_tokens: options.maxTokens}),
});
