import {MarjoramcoveError, RefusedError} from '@marjoramcove/errors';
import type {DaemonId} from '@marjoramcove/types';
import type {z, ZodType} from 'zod';
import type {BackoffOptions} from './backoff-delay.ts';
import {
	type CallOptions,
	PeerClient,
	type PeerClientEvent,
} from './peer-client.ts';
import type {CallHandlers, LinkOptions} from './peer-link.ts';
import type {PeerContext, PostProcedure, Procedures} from './peer-router.ts';

/** Each channel has its own link, so that a large message never delays a heartbeat of a replicated log. */
export type PeerChannel = 'control' | 'data';

/** Options of a {@link PeerNetwork}. */
export type PeerNetworkOptions = {
	selfId: DaemonId;
	/** Address of a daemon, `undefined` while it is not known. */
	findAddress: (daemonId: DaemonId) => string | undefined;
	/** Options of all links. */
	link?: Partial<LinkOptions>;
	/** Delays between attempts to connect. Default: those of {@link PeerClient}. */
	backoff?: BackoffOptions;
	onEvent?: (
		event: PeerClientEvent,
		peer: {daemonId: DaemonId; channel: PeerChannel},
	) => void;
};

/** Time without calls after which a link is closed until the next call. */
const IDLE_LINK_MS = 60_000;

const localContext: PeerContext = {
	async waitUntilWritable() {
		// A local stream has no connection to wait for.
	},
};

const createUnknownProcedureError = (path: string): RefusedError =>
	new RefusedError(`This daemon serves no procedure ${path}.`, {
		reason: 'procedure-unknown',
		hint: 'Run the same version on all daemons.',
	});

/**
 * Calls between daemons: holds the procedures that this daemon serves and the links to the other
 * daemons. A call to the daemon itself runs without a link.
 *
 * @example
 * ```ts
 * const network = new PeerNetwork({selfId, findAddress: (daemonId) => daemonId});
 * network.handle('clock.read', z.object({}), async () => ({nowMs: Date.now()}));
 * await network.call(otherId, 'clock.read', {}, {timeoutMs: 500});
 * ```
 */
export class PeerNetwork {
	readonly procedures: Procedures = {};
	readonly posts: Record<string, PostProcedure> = {};
	readonly #options: PeerNetworkOptions;
	readonly #clients = new Map<string, PeerClient>();

	constructor(options: PeerNetworkOptions) {
		this.#options = options;
	}

	/** Registers a procedure that returns one answer. */
	handle<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>) => Promise<unknown>,
	): void {
		this.procedures[path] = {kind: 'call', input, run};
	}

	/** Registers a procedure that returns a stream of answers. */
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

	/** Registers a procedure for one-way messages. */
	handlePost<Schema extends ZodType>(
		path: string,
		input: Schema,
		run: (input: z.output<Schema>) => void,
	): void {
		this.posts[path] = {input, run};
	}

	/**
	 * Calls a procedure of a daemon, which may be this one.
	 *
	 * @throws MarjoramcoveError with the verdict of the call; see {@link PeerClient.call}.
	 */
	async call<Output>(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		{
			timeoutMs,
			isHeld,
			channel = 'data',
		}: CallOptions & {channel?: PeerChannel},
	): Promise<Output> {
		if (daemonId === this.#options.selfId) {
			return this.#callLocally<Output>(path, input, timeoutMs);
		}

		return this.#client(daemonId, channel).call<Output>(path, input, {
			timeoutMs,
			isHeld,
		});
	}

	/** Sends a one-way message to another daemon; it may be lost. */
	async post(
		daemonId: DaemonId,
		path: string,
		input: unknown,
		channel: PeerChannel,
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
		if (daemonId !== this.#options.selfId) {
			return this.#client(daemonId, 'data').subscribe(path, input, handlers);
		}

		const controller = new AbortController();
		void this.#streamLocally(path, input, handlers, controller.signal);
		return () => {
			controller.abort();
		};
	}

	/** Closes all links. */
	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}
	}

	async #callLocally<Output>(
		path: string,
		input: unknown,
		timeoutMs: number,
	): Promise<Output> {
		const procedure = this.procedures[path];
		if (procedure?.kind !== 'call') {
			throw createUnknownProcedureError(path);
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
				throw createUnknownProcedureError(path);
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

	#client(daemonId: DaemonId, channel: PeerChannel): PeerClient {
		const address = this.#options.findAddress(daemonId);
		if (address === undefined) {
			throw new RefusedError(
				`The address of daemon ${daemonId} is not known.`,
				{
					reason: 'peer-unknown',
					hint: 'Retry after the next heartbeat.',
				},
			);
		}

		const key = `${channel} ${address}`;
		let client = this.#clients.get(key);
		if (!client) {
			client = new PeerClient({
				...this.#options.link,
				backoff: this.#options.backoff,
				address,
				idleMs: IDLE_LINK_MS,
				onEvent: (event) => {
					this.#options.onEvent?.(event, {daemonId, channel});
				},
			});
			this.#clients.set(key, client);
		}

		return client;
	}
}
