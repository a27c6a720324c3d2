import {messageOf, reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {createPeerRouter, PeerServer} from '@marjoramcove/transport';
import type {DaemonContext} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';

/** Accepts connections from other daemons; registered after all services that register procedures. */
export class PeerListenerService extends Service {
	readonly #context: DaemonContext;
	#server: PeerServer | undefined;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'peer-listener';
	}

	override async start(kernel: ServiceDirectory) {
		const {listen, limits, timing} = this.#context.settings;
		const slowPeers = this.#context.metrics.counter(
			'marjoramcove_slow_peers_closed_total',
			'Links closed because the peer did not read.',
		);
		const peers = kernel.get<PeersService>('peers');
		this.#server = new PeerServer({
			listen: {host: listen.host, port: listen.peerPort},
			router: createPeerRouter(peers.procedures),
			calls: peers.procedures,
			posts: peers.posts,
			maxMessageBytes: limits.peerMessageSizeBytes,
			maxBatchSize: limits.queuedMessagesPerLink,
			silenceMs: timing.linkTimeoutMs,
			onEvent: (event) => {
				if (event.type === 'slow-peer-closed') {
					slowPeers.increment();
				} else {
					this.#context.logger.warn({
						event: event.type,
						path: event.path,
						reason: reasonOf(event.error),
						error: messageOf(event.error),
					});
				}
			},
		});
		await this.#server.start();
	}

	override async stop() {
		await this.#server?.stop();
	}
}
