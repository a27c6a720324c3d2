import {reasonOf} from '@marjoramcove/errors';
import {
	type InFlightByServer,
	LoadLedger,
	NewsLedger,
	type NewsPosition,
	type Placement,
	type SharedPart,
} from '@marjoramcove/balancer';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {newsInput, type NewsOutput} from '../contracts.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {FleetService} from './fleet-service.ts';
import type {PeersService} from './peers-service.ts';

/** Interval at which news is exchanged; a server is not flooded by daemons that do not know of each other. */
const EXCHANGE_INTERVAL_MS = 100;

/** A later answer would be older than the next one. */
const EXCHANGE_TIMEOUT_MS = 300;

const addLoads = (
	sum: Record<string, number>,
	more: InFlightByServer,
): Record<string, number> => {
	for (const [id, count] of Object.entries(more)) {
		sum[id] = (sum[id] ?? 0) + count;
	}

	return sum;
};

/** Passes the news of entry daemons on: a control daemon knows its children and hears of the others. */
export class NewsRelayService extends Service {
	readonly #context: GatewayContext;
	/** What entry daemons told this control daemon. */
	readonly #children = new LoadLedger();
	/** What other control daemons told of their children. */
	readonly #others = new LoadLedger();
	readonly #shared: NewsLedger;
	/** Shared parts that the children told since the last time the other control daemons were told. */
	#unshared: SharedPart[] = [];
	#peers!: PeersService;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.#shared = new NewsLedger(context.incarnation);
	}

	override get name() {
		return 'news-relay';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		const {network} = this.#peers;
		network.handle(
			'news.exchange',
			newsInput,
			async ({from, inFlight, shared, position}) => {
				const nowMs = performance.now();
				this.#children.note(from, inFlight, nowMs);
				this.#shared.note(from, shared, nowMs);
				this.#unshared.push(...shared);
				return {
					inFlight: addLoads(
						this.#children.sumOfOthers(from, nowMs),
						this.#others.sumOfOthers('', nowMs),
					),
					...this.#shared.read(from, position, nowMs),
				} satisfies NewsOutput;
			},
		);
		network.handlePost('news.share', newsInput, ({from, inFlight, shared}) => {
			const nowMs = performance.now();
			this.#others.note(from, inFlight, nowMs);
			this.#shared.note(from, shared, nowMs);
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
			shared: this.#unshared,
		};
		this.#unshared = [];
		await Promise.all(
			view
				.membersOf('control')
				.filter(({daemonId}) => daemonId !== settings.daemonId)
				.map(async ({daemonId}) => {
					try {
						await this.#peers.network.post(
							daemonId,
							'news.share',
							message,
							'control',
						);
					} catch (error) {
						// The next interval tells the newer load; the link itself logs that it is down.
						retries.increment({step: 'news.share', reason: reasonOf(error)});
					}
				}),
		);
	}
}

/** Tells the parent what this entry daemon has sent, and takes what the others have. */
export class NewsExchangeService extends Service {
	readonly #context: GatewayContext;
	readonly #placement: Placement;
	#peers!: PeersService;
	#fleet!: FleetService;
	#timer: NodeJS.Timeout | undefined;
	#isExchanging = false;
	#position: NewsPosition | undefined;

	constructor(context: GatewayContext, placement: Placement) {
		super();
		this.#context = context;
		this.#placement = placement;
	}

	override get name() {
		return 'news-exchange';
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
			const {position, ...news} = await this.#peers.network.call<NewsOutput>(
				parentId,
				'news.exchange',
				{
					from: this.#context.settings.daemonId,
					...this.#placement.takeNews(),
					position: this.#position,
				},
				{timeoutMs: EXCHANGE_TIMEOUT_MS, channel: 'control'},
			);
			this.#position = position;
			this.#placement.noteNews(news, performance.now());
		} catch (error) {
			// Without news the daemon goes by its own requests.
			this.#placement.noteNews({inFlight: {}, shared: []}, performance.now());
			this.#context.retries.increment({
				step: 'news.exchange',
				reason: reasonOf(error),
			});
		} finally {
			this.#isExchanging = false;
		}
	}
}
