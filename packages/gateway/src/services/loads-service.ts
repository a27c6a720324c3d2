import {type InFlightByServer, LoadLedger} from '@marjoramcove/balancer';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {type LoadsOutput, loadsInput} from '../contracts.ts';
import {type GatewayContext, reasonOf} from '../gateway-context.ts';
import type {FleetService} from './fleet-service.ts';
import type {PeersService} from './peers-service.ts';

/** Interval at which loads are told; a server is not flooded by daemons that do not know of each other. */
const EXCHANGE_INTERVAL_MS = 100;

/** A later answer would be older than the next one. */
const EXCHANGE_TIMEOUT_MS = 300;

/** Passes the loads of entry daemons on: a control daemon knows its children and asks the others. */
export class LoadRelayService extends Service {
	readonly #context: GatewayContext;
	/** What entry daemons told this control daemon. */
	readonly #children = new LoadLedger();
	/** What other control daemons told of their children. */
	readonly #others = new LoadLedger();
	#peers!: PeersService;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'load-relay';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		const {network} = this.#peers;
		network.handle('loads.exchange', loadsInput, async ({from, inFlight}) => {
			const nowMs = performance.now();
			this.#children.note(from, inFlight, nowMs);
			const sum = this.#children.sumOfOthers(from, nowMs);
			for (const [id, count] of Object.entries(
				this.#others.sumOfOthers('', nowMs),
			)) {
				sum[id] = (sum[id] ?? 0) + count;
			}

			return {inFlight: sum} satisfies LoadsOutput;
		});
		network.handlePost('loads.share', loadsInput, ({from, inFlight}) => {
			this.#others.note(from, inFlight, performance.now());
		});
		this.#timer = setInterval(() => {
			void this.#share();
		}, EXCHANGE_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	async #share(): Promise<void> {
		const {view, settings, retries} = this.#context;
		const message = {
			from: settings.daemonId,
			inFlight: this.#children.sumOfOthers('', performance.now()),
		};
		await Promise.all(
			view
				.membersOf('control')
				.filter(({daemonId}) => daemonId !== settings.daemonId)
				.map(async ({daemonId}) => {
					try {
						await this.#peers.network.post(
							daemonId,
							'loads.share',
							message,
							'control',
						);
					} catch (error) {
						// The next interval tells the newer load; the link itself logs that it is down.
						retries.increment({step: 'loads.share', reason: reasonOf(error)});
					}
				}),
		);
	}
}

/** Where an entry daemon keeps the loads of its servers. */
export type LoadHolder = {
	describeInFlight: () => InFlightByServer;
	noteOthers: (inFlight: InFlightByServer) => void;
};

/** Tells the parent the load that this entry daemon causes, and takes that of the others. */
export class LoadExchangeService extends Service {
	readonly #context: GatewayContext;
	readonly #holder: LoadHolder;
	#peers!: PeersService;
	#fleet!: FleetService;
	#timer: NodeJS.Timeout | undefined;
	#isExchanging = false;

	constructor(context: GatewayContext, holder: LoadHolder) {
		super();
		this.#context = context;
		this.#holder = holder;
	}

	override get name() {
		return 'load-exchange';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		this.#fleet = kernel.get<FleetService>('fleet');
		this.#timer = setInterval(() => {
			void this.#exchange();
		}, EXCHANGE_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	async #exchange(): Promise<void> {
		const {parentId} = this.#fleet;
		if (parentId === undefined || this.#isExchanging) {
			return;
		}

		this.#isExchanging = true;
		try {
			const {inFlight} = await this.#peers.network.call<LoadsOutput>(
				parentId,
				'loads.exchange',
				{
					from: this.#context.settings.daemonId,
					inFlight: this.#holder.describeInFlight(),
				},
				{timeoutMs: EXCHANGE_TIMEOUT_MS, channel: 'control'},
			);
			this.#holder.noteOthers(inFlight);
		} catch (error) {
			// Without news the daemon goes by its own requests.
			this.#holder.noteOthers({});
			this.#context.retries.increment({
				step: 'loads.exchange',
				reason: reasonOf(error),
			});
		} finally {
			this.#isExchanging = false;
		}
	}
}
