import {Service} from '@marjoramcove/kernel';
import {
	type CallHandlers,
	type PeerChannel,
	type PeerClientEvent,
	PeerNetwork,
	type PostProcedure,
	type Procedures,
} from '@marjoramcove/transport';
import type {DaemonId} from '@marjoramcove/types';
import type {z, ZodType} from 'zod';
import type {DaemonContext} from '../daemon-context.ts';

/** Network of this daemon to its peers, with the addresses from the settings and those learned at run time. */
export class PeersService extends Service {
	readonly #context: DaemonContext;
	readonly #addresses = new Map<string, string>();
	readonly #network: PeerNetwork;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		const {daemonId, cluster, timing, limits} = context.settings;
		for (const peer of cluster.peers) {
			this.#addresses.set(peer.daemonId, peer.peerAddress);
		}

		this.#network = new PeerNetwork({
			selfId: daemonId,
			findAddress: (peerId) => this.#addresses.get(peerId),
			link: {
				heartbeatMs: timing.linkHeartbeatMs,
				silenceMs: timing.linkTimeoutMs,
				maxMessageBytes: limits.peerMessageSizeBytes,
				maxPendingCalls: limits.queuedMessagesPerLink,
			},
			onEvent: (event, peer) => {
				this.#recordEvent(event, peer);
			},
		});
	}

	override get name() {
		return 'peers';
	}

	get procedures(): Procedures {
		return this.#network.procedures;
	}

	get posts(): Record<string, PostProcedure> {
		return this.#network.posts;
	}

	override async start() {
		// Links open on their first call.
	}

	override async stop() {
		this.#network.close();
	}

	/** Registers a procedure with a single answer. */
	handle<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>) => Promise<unknown>,
	): void {
		this.#network.handle(path, input, run);
	}

	/** Registers a procedure that answers with a stream. */
	handleStream<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>, signal: AbortSignal) => AsyncGenerator,
	): void {
		this.#network.handleStream(path, input, run);
	}

	/** Registers a handler of one-way messages. */
	handlePost<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>) => void,
	): void {
		this.#network.handlePost(path, input, run);
	}

	/** Adds the address of a daemon that the settings do not list. */
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
		options: {timeoutMs: number; channel?: PeerChannel},
	): Promise<Output> {
		return this.#network.call<Output>(daemonId, path, input, options);
	}

	/** Sends a one-way message to another daemon; it may be lost. */
	async post(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		channel: PeerChannel,
	): Promise<void> {
		await this.#network.post(daemonId, path, input, channel);
	}

	/** Subscribes to a stream of a daemon, which may be this one. */
	async subscribe(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		handlers: CallHandlers,
	): Promise<() => void> {
		return this.#network.subscribe(daemonId, path, input, handlers);
	}

	#recordEvent(
		event: PeerClientEvent,
		{daemonId, channel}: {daemonId: DaemonId; channel: PeerChannel},
	): void {
		const reason = event.type === 'link-closed' ? event.reason : '';
		this.#context.metrics
			.counter(
				'marjoramcove_link_events_total',
				'Events of links to other daemons.',
			)
			.increment({event: event.type, ...(reason && {reason})});
		if (event.type !== 'reconnecting') {
			this.#context.logger.info({
				event: event.type,
				peer: daemonId,
				channel,
				...(reason && {reason}),
			});
		}
	}
}
