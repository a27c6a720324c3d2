import {Service} from '@marjoramcove/kernel';
import {
	createPeerRouter,
	PeerNetwork,
	PeerServer,
} from '@marjoramcove/transport';
import {splitAddress} from '@marjoramcove/ingress';
import type {GatewayContext} from '../gateway-context.ts';

/**
 * Backoff between connection attempts. A restarted daemon must be reconnected within a fraction of an
 * election timeout, and a refused attempt is cheap.
 */
const CONNECT_BACKOFF = {initialMs: 30, maximumMs: 250};

/**
 * Time without a message after which a daemon pings the client of a link. It only frees what the link of a
 * lost client holds, since clients watch the links that they wait on themselves.
 */
const SERVER_SILENCE_MS = 10_000;

/**
 * Links to other daemons. The id of a daemon is its address, so any daemon can be reached without a
 * lookup.
 */
export class PeersService extends Service {
	readonly network: PeerNetwork;
	readonly #context: GatewayContext;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		const {daemonId, timing} = context.settings;
		const events = context.metrics.counter(
			'marjoramcove_link_events_total',
			'Events of links to other daemons.',
		);
		this.network = new PeerNetwork({
			selfId: daemonId,
			findAddress(peerId) {
				return peerId;
			},
			link: {
				heartbeatMs: timing.linkHeartbeatMs,
				silenceMs: timing.linkTimeoutMs,
				connectTimeoutMs: timing.linkConnectTimeoutMs,
			},
			backoff: CONNECT_BACKOFF,
			onEvent(event, {daemonId: peer, channel}) {
				const reason = event.type === 'link-closed' ? event.reason : undefined;
				events.increment({event: event.type, ...(reason && {reason})});
				if (event.type !== 'reconnecting') {
					context.logger.info({event: event.type, peer, channel, reason});
				}
			},
		});
	}

	override get name() {
		return 'peers';
	}

	override async start() {
		// The listener starts last, after all procedures are registered.
	}

	override async stop() {
		this.network.close();
	}
}

/** Serves the procedures of this daemon; must be registered after all services that add procedures. */
export class PeerListenerService extends Service {
	readonly #context: GatewayContext;
	readonly #peers: PeersService;
	#server: PeerServer | undefined;

	constructor(context: GatewayContext, peers: PeersService) {
		super();
		this.#context = context;
		this.#peers = peers;
	}

	override get name() {
		return 'peer-listener';
	}

	override async start() {
		const {daemonId} = this.#context.settings;
		const {procedures, posts} = this.#peers.network;
		this.#server = new PeerServer({
			listen: splitAddress(daemonId),
			router: createPeerRouter(procedures),
			calls: procedures,
			posts,
			silenceMs: SERVER_SILENCE_MS,
		});
		await this.#server.start();
	}

	override async stop() {
		await this.#server?.stop();
	}
}
