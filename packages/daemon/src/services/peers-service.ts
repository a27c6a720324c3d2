import {MarjoramcoveError} from '@marjoramcove/errors';
import {Service} from '@marjoramcove/kernel';
import {
	type CallHandlers,
	PeerClient,
	type PeerContext,
	type PostProcedure,
	type Procedures,
} from '@marjoramcove/transport';
import type {DaemonId} from '@marjoramcove/types';
import type {z, ZodType} from 'zod';
import {type DaemonContext, refusal} from '../daemon-context.ts';

/** Links are kept apart so that a large history never delays a heartbeat of a replicated log. */
type Channel = 'control' | 'data';

const idleLinkMs = 60_000;
const localContext: PeerContext = {
	async writable() {
		// A local stream has no connection that could be slow.
	},
};

/** Calls between daemons: the procedures that this daemon serves and the links to the others. */
export class PeersService extends Service {
	readonly procedures: Procedures = {};
	readonly posts: Record<string, PostProcedure> = {};
	readonly #context: DaemonContext;
	readonly #clients = new Map<string, PeerClient>();
	readonly #addresses = new Map<string, string>();

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		for (const peer of context.settings.cluster.peers) {
			this.#addresses.set(peer.daemonId, peer.peerAddress);
		}
	}

	override get name() {
		return 'peers';
	}

	override async start() {
		// Links open on their first call.
	}

	override async stop() {
		for (const client of this.#clients.values()) {
			client.close();
		}
	}

	/** Serves a call with one answer. */
	handle<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>) => Promise<unknown>,
	): void {
		this.procedures[path] = {kind: 'call', input, run};
	}

	/** Serves a call with a stream of answers. */
	handleStream<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>, signal: AbortSignal) => AsyncGenerator,
	): void {
		this.procedures[path] = {
			kind: 'stream',
			input,
			run: ((value: z.output<Schema>, _context: unknown, signal: AbortSignal) =>
				run(value, signal)) as never,
		};
	}

	/** Takes messages that have no answer. */
	handlePost<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>) => void,
	): void {
		this.posts[path] = {input, run};
	}

	/** Learns the address of a daemon that the settings do not list. */
	learnAddress(daemonId: DaemonId, address: string | undefined): void {
		if (address !== undefined && !this.#addresses.has(daemonId)) {
			this.#addresses.set(daemonId, address);
		}
	}

	/** Calls a procedure of a daemon, which may be this one. */
	async call<Output>(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		{timeoutMs, channel = 'data'}: {timeoutMs: number; channel?: Channel},
	): Promise<Output> {
		if (daemonId === this.#context.settings.daemonId) {
			return this.#callLocally<Output>(path, input, timeoutMs);
		}

		return this.#client(daemonId, channel).call<Output>(path, input, {
			timeoutMs,
		});
	}

	/** Sends a message without an answer to another daemon; it may be lost. */
	async post(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		channel: Channel,
	): Promise<void> {
		await this.#client(daemonId, channel).post(path, input);
	}

	/** Opens a stream of a daemon, which may be this one. */
	async subscribe(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		handlers: CallHandlers,
	): Promise<() => void> {
		if (daemonId !== this.#context.settings.daemonId) {
			return this.#client(daemonId, 'data').subscribe(path, input, handlers);
		}

		const controller = new AbortController();
		void this.#streamLocally(path, input, handlers, controller.signal);
		return () => {
			controller.abort();
		};
	}

	async #callLocally<Output>(
		path: string,
		input: unknown,
		timeoutMs: number,
	): Promise<Output> {
		const procedure = this.procedures[path];
		if (procedure?.kind !== 'call') {
			throw refusal('procedure-unknown', `No call ${path}.`, 'Report this.');
		}

		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(
					new MarjoramcoveError(
						`This daemon did not answer ${path} within ${Math.round(timeoutMs)} ms.`,
						{
							reason: 'peer-timeout',
							verdict: 'may-have-run',
							hint: 'Look up the outcome by the id of the request.',
						},
					),
				);
			}, timeoutMs);
		});
		try {
			const parsed = procedure.input.parse(input) as never;
			return (await Promise.race([
				procedure.run(parsed, localContext),
				timeout,
			])) as Output;
		} finally {
			clearTimeout(timer);
		}
	}

	async #streamLocally(
		path: string,
		input: unknown,
		handlers: CallHandlers,
		signal: AbortSignal,
	): Promise<void> {
		const procedure = this.procedures[path];
		try {
			if (procedure?.kind !== 'stream') {
				throw refusal('procedure-unknown', `No stream ${path}.`, 'Report it.');
			}

			const parsed = procedure.input.parse(input) as never;
			for await (const value of procedure.run(parsed, localContext, signal)) {
				if (signal.aborted) {
					return;
				}

				handlers.onData(value);
			}

			handlers.onComplete?.();
		} catch (error) {
			if (!signal.aborted) {
				handlers.onError(error as Error);
			}
		}
	}

	#client(daemonId: DaemonId, channel: Channel): PeerClient {
		const address = this.#addresses.get(daemonId);
		if (address === undefined) {
			throw refusal(
				'peer-unknown',
				`The address of daemon ${daemonId} is not known.`,
				'Retry after the next heartbeat.',
			);
		}

		const key = `${channel} ${address}`;
		let client = this.#clients.get(key);
		if (!client) {
			client = this.#createClient(address, daemonId, channel);
			this.#clients.set(key, client);
		}

		return client;
	}

	#createClient(
		address: string,
		daemonId: DaemonId,
		channel: Channel,
	): PeerClient {
		const {timing, limits} = this.#context.settings;
		const events = this.#context.metrics.counter(
			'marjoramcove_link_events_total',
			'Events of links to other daemons.',
		);
		return new PeerClient({
			address,
			heartbeatMs: timing.linkHeartbeatMs,
			silenceMs: timing.linkTimeoutMs,
			maxMessageBytes: limits.peerMessageSizeBytes,
			maxPendingCalls: limits.queuedMessagesPerLink,
			idleMs: idleLinkMs,
			onEvent: (event) => {
				const reason = event.type === 'link-closed' ? event.reason : '';
				events.increment({event: event.type, ...(reason && {reason})});
				if (event.type !== 'reconnecting') {
					this.#context.logger.info({
						event: event.type,
						peer: daemonId,
						channel,
						...(reason && {reason}),
					});
				}
			},
		});
	}
}
