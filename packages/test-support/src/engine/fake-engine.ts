import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	handleAsync,
	FakeHttpServer,
	readJson,
	readParameter,
	type RoutedRequest,
	sendJson,
} from '../fake-http-server.ts';
import {validateMessages} from './validate-messages.ts';
import {EngineBatch} from './engine-batch.ts';
import {EngineMemory} from './engine-memory.ts';
import {
	defaultEngineOptions,
	type EngineFault,
	type EngineOptions,
} from './engine-options.ts';
import {type EngineOrder, EngineOrders} from './engine-orders.ts';
import {addMemoryRoutes} from './memory-routes.ts';
import {
	type EngineStream,
	formatUsage,
	StreamListener,
} from './engine-stream.ts';
import {
	countAnswerTokens,
	type ChatMessage,
	countTokens,
	joinPrompt,
} from './generate-text.ts';

type CompletionRequest = {
	model: string;
	messages: ChatMessage[];
	stream?: boolean;
	max_tokens?: number;
	program_id?: string;
	stream_id?: string;
	prefix?: string;
};

/** A received model call, for tests. */
export type ReceivedCall = {
	streamId: string;
	programId: string | undefined;
	prompt: string;
	prefix: string;
	receivedAtMs: number;
	/** Tokens used by the call so far, including those used after the connection was lost. */
	readUsedTokens: () => number;
};

/**
 * Fake model engine that implements the engine protocol (section 9 of the design).
 *
 * @example
 * ```ts
 * const engine = await new FakeEngine({slots: 4}).start();
 * engine.injectFault({kind: 'die-after', bytes: 400});
 * await engine.stop();
 * ```
 */
export class FakeEngine extends FakeHttpServer {
	readonly options: EngineOptions;
	/** All model calls received since the first start, including those before restarts. */
	readonly calls: ReceivedCall[] = [];
	orders: EngineOrders;
	leaving = false;
	incarnation = randomUUID();
	#memory: EngineMemory;
	#batch: EngineBatch;
	#streams = new Map<string, EngineStream>();
	readonly #faults: EngineFault[] = [];
	readonly #loadSamples: Array<{
		atMs: number;
		running: number;
		waiting: number;
	}> = [];

	#loadSampler: NodeJS.Timeout | undefined;

	constructor(options: Partial<EngineOptions> = {}) {
		super();
		this.options = {...defaultEngineOptions, ...options};
		this.#memory = new EngineMemory(this.options.kvCapacityTokens);
		this.#batch = new EngineBatch(this.options, this.#memory);
		this.orders = new EngineOrders(this.options);
	}

	/** Programs with an entry in the prefix cache, and its tokens. */
	get held(): Array<{programId: string; tokens: number}> {
		return this.#memory.listEntries();
	}

	get load(): {running: number; waiting: number} {
		return this.#batch.load;
	}

	override async start(): Promise<this> {
		await super.start();
		this.#loadSampler = setInterval(() => {
			this.#loadSamples.push({atMs: Date.now(), ...this.#batch.load});
			this.#loadSamples.splice(0, this.#loadSamples.length - 200);
		}, 50);
		return this;
	}

	override async stop(): Promise<void> {
		clearInterval(this.#loadSampler);
		this.#batch.stop();
		await super.stop();
	}

	/** Queues a fault; each model call consumes one fault, in order. */
	injectFault(fault: EngineFault): void {
		this.#faults.push(fault);
	}

	/** Removes the queued faults. */
	clearFaults(): void {
		this.#faults.length = 0;
	}

	/** Stops the engine and discards its memory, streams and fencing number. */
	async crash(): Promise<void> {
		await this.stop();
		this.#memory = new EngineMemory(this.options.kvCapacityTokens);
		this.#batch = new EngineBatch(this.options, this.#memory);
		this.#streams = new Map();
		this.orders = new EngineOrders(this.options);
		this.incarnation = randomUUID();
	}

	/** Restarts the engine on the same port with an empty memory. */
	async restart(): Promise<void> {
		await this.crash();
		await this.start();
	}

	protected override addRoutes(app: Polka): void {
		app
			.post(
				'/v1/chat/completions',
				handleAsync(async (request, response) =>
					this.#complete(request, response),
				),
			)
			.get('/v1/streams/:id', (request, response) => {
				this.#resume(request, response);
			})
			.delete('/v1/streams/:id', (request, response) => {
				this.#cancel(readParameter(request, 'id'), response);
			});
		this.#addOrderRoutes(app);
		addMemoryRoutes(app, {
			memory: () => this.#memory,
			options: this.options,
			readLoad: () => this.#readDelayedLoad(),
		});
	}

	#addOrderRoutes(app: Polka): void {
		app
			.get('/healthz', (_request, response) => {
				sendJson(response, 200, {status: this.leaving ? 'leaving' : 'ready'});
			})
			.get('/v1/state', (_request, response) => {
				sendJson(response, 200, {
					...this.orders.state,
					fencingNumber: this.orders.fencingNumber,
					incarnation: this.incarnation,
				});
			})
			.post(
				'/v1/orders',
				handleAsync(async (request, response) => {
					const outcome = this.orders.execute(
						await readJson<EngineOrder>(request),
					);
					sendJson(response, outcome.status, outcome.body);
				}),
			);
	}

	async #complete(
		request: RoutedRequest,
		response: ServerResponse,
	): Promise<void> {
		const body = await readJson<CompletionRequest>(request);
		const streamId =
			(request.headers['x-stream-id'] as string | undefined) ??
			body.stream_id ??
			randomUUID();
		if (!this.orders.state.models.includes(body.model)) {
			sendJson(response, 404, {
				error: {
					reason: 'model-not-loaded',
					message: `Model ${body.model} is not loaded.`,
				},
			});
			return;
		}

		const problem = validateMessages(body.messages);
		if (problem !== undefined) {
			sendJson(response, 400, {
				error: {reason: 'invalid-messages', message: problem},
			});
			return;
		}

		if (this.#streams.has(streamId)) {
			sendJson(response, 409, {
				error: {
					reason: 'stream-exists',
					message: `Stream ${streamId} exists; resume it with GET /v1/streams/${streamId}.`,
				},
			});
			return;
		}

		const stream = this.#createStream(streamId, body);
		const fault = this.#faults.shift();
		if (fault?.kind === 'delay') {
			await new Promise((resolve) => {
				setTimeout(resolve, fault.delayMs);
			});
		}

		if (body.stream) {
			this.#streamTo(stream, response, 0, fault);
		} else {
			this.#sendWhenDone(stream, response);
		}

		this.#batch.add(stream);
	}

	#createStream(streamId: string, body: CompletionRequest): EngineStream {
		const prompt = joinPrompt(body.messages);
		const prefix = body.prefix ?? '';
		const stream: EngineStream = {
			streamId,
			programId: body.program_id,
			model: body.model,
			prompt,
			promptTokens: countTokens(prompt),
			cachedTokens: 0,
			prefixTokens: countTokens(prefix),
			totalTokens: countAnswerTokens(
				body.messages,
				this.options.defaultAnswerTokens,
				this.options.ignoreMaxTokens ? undefined : body.max_tokens,
			),
			remainingPrefillTokens: 0,
			text: '',
			dueTokens: 0,
			state: 'waiting',
			listeners: new Set(),
		};
		this.calls.push({
			streamId,
			programId: body.program_id,
			prompt,
			prefix,
			receivedAtMs: Date.now(),
			readUsedTokens: () => formatUsage(stream).total_tokens,
		});
		this.#streams.set(streamId, stream);
		return stream;
	}

	#streamTo(
		stream: EngineStream,
		response: ServerResponse,
		offset: number,
		fault?: EngineFault,
	): void {
		const listener = new StreamListener(response, {
			offset,
			fault,
			onCrash: () => {
				void this.crash();
			},
		});
		stream.listeners.add(listener);
		response.on('close', () => stream.listeners.delete(listener));
		listener.update(stream);
	}

	#sendWhenDone(stream: EngineStream, response: ServerResponse): void {
		const listener = {
			update() {
				if (stream.state === 'done') {
					sendJson(response, 200, {
						id: stream.streamId,
						object: 'chat.completion',
						model: stream.model,
						choices: [
							{
								index: 0,
								message: {role: 'assistant', content: stream.text},
								finish_reason: 'stop',
							},
						],
						usage: formatUsage(stream),
					});
				} else if (stream.state === 'cancelled') {
					sendJson(response, 499, {error: {reason: 'cancelled'}});
				}
			},
		} as unknown as StreamListener;
		stream.listeners.add(listener);
	}

	#resume(request: RoutedRequest, response: ServerResponse): void {
		const stream = this.#streams.get(readParameter(request, 'id'));
		if (!stream) {
			sendJson(response, 404, {
				error: {
					reason: 'stream-unknown',
					message: `Stream ${readParameter(request, 'id')} is unknown.`,
				},
			});
			return;
		}

		this.#streamTo(stream, response, Number(request.query.offset ?? 0));
	}

	#cancel(streamId: string, response: ServerResponse): void {
		const stream = this.#streams.get(streamId);
		if (!stream) {
			sendJson(response, 404, {
				error: {reason: 'stream-unknown', message: `No stream ${streamId}.`},
			});
			return;
		}

		if (stream.state === 'waiting' || stream.state === 'running') {
			this.#batch.cancel(stream);
		}

		sendJson(response, 200, {
			state: stream.state,
			usage: formatUsage(stream),
		});
	}

	#readDelayedLoad(): Record<string, unknown> {
		const until = Date.now() - this.options.loadLagMs;
		const sample = this.#loadSamples.findLast((entry) => entry.atMs <= until);
		return {
			atMs: sample?.atMs ?? 0,
			running: sample?.running ?? 0,
			waiting: sample?.waiting ?? 0,
			slots: this.options.slots,
			kvTokens: this.#memory.tokens,
			kvCapacityTokens: this.options.kvCapacityTokens,
		};
	}
}
