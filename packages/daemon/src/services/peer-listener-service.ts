import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {createPeerRouter, PeerServer} from '@marjoramcove/transport';
import type {DaemonContext} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';

/** Listens for other daemons; registered after all services that serve procedures. */
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
		this.#server = new PeerServer({
			listen: {host: listen.host, port: listen.peerPort},
			router: createPeerRouter(kernel.get<PeersService>('peers').procedures),
			maxMessageBytes: limits.peerMessageSizeBytes,
			maxBatchSize: limits.queuedMessagesPerLink,
			silenceMs: timing.linkTimeoutMs,
			onEvent() {
				slowPeers.increment();
			},
		});
		await this.#server.start();
	}

	override async stop() {
		await this.#server?.stop();
	}
}
