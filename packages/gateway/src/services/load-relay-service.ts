import {reasonOf} from '@marjoramcove/errors';
import {
	addSpeeds,
	type InFlightByServer,
	LeavingReports,
	limitReport,
	LoadReports,
	type PlacementUpdate,
	RateStatements,
	type ReportedSpeeds,
	type SharedPart,
	SharedPartLog,
	type SharedPartLogPosition,
	SpeedReports,
} from '@marjoramcove/balancer';
import type {FleetMember} from '@marjoramcove/fleet';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {GatewayContext} from '../gateway-context.ts';
import {hasNews, QUIET_WAIT_MS} from '../load-news.ts';
import {
	type LoadReportInput,
	loadReportInput,
	type LoadReportOutput,
} from '../peer-messages.ts';
import type {PeersService} from './peers-service.ts';

/** Interval at which the control daemons exchange the load of their children. */
const RELAY_INTERVAL_MS = 100;

/** Largest number of entry daemons for which one control daemon may speak. */
const MAX_CHILDREN = 420;

/**
 * Time after which a control daemon repeats an unchanged summary. Summaries expire after a second, so that two
 * may be lost.
 */
const REPEAT_INTERVAL_MS = 300;

const addLoads = (
	sum: Record<string, number>,
	more: InFlightByServer,
): Record<string, number> => {
	for (const [id, count] of Object.entries(more)) {
		sum[id] = (sum[id] ?? 0) + count;
	}

	return sum;
};

/**
 * Relays the load reports of entry daemons. Each control daemon receives the reports of its own children
 * and exchanges summaries with the other control daemons.
 */
export class LoadRelayService extends Service {
	readonly #context: GatewayContext;
	/** Load reported by the entry daemons that report to this control daemon. */
	readonly #childLoads = new LoadReports();
	/** Load reported by other control daemons for their children. */
	readonly #peerLoads = new LoadReports();
	readonly #sharedParts: SharedPartLog;
	/** Request rates that servers stated to entry daemons. */
	readonly #rates = new RateStatements();
	/** Announcements of leaving servers to entry daemons. */
	readonly #leaving = new LeavingReports();
	/** Speeds of servers as reported by children, and by other control daemons for theirs. */
	readonly #childSpeeds = new SpeedReports();
	readonly #peerSpeeds = new SpeedReports({
		daemonsPerReport: MAX_CHILDREN,
	});

	/** Shared parts reported by children since the last message to the other control daemons. */
	#unsentParts: SharedPart[] = [];
	/** Exchanges that are held until there is something to report. */
	readonly #waiting = new Set<() => void>();
	/** Last summary for the other control daemons, and when it was sent. */
	#sentSummary = '';
	#sentAtMs = Number.NEGATIVE_INFINITY;
	#peers!: PeersService;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.#sharedParts = new SharedPartLog(context.incarnation);
	}

	override get name() {
		return 'news-relay';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		const {network} = this.#peers;
		network.handle('news.exchange', loadReportInput, async (input) =>
			this.#handleExchange(input),
		);
		network.handlePost('news.share', loadReportInput, (input) => {
			const {from, inFlight, shared, rates = {}, leaving = {}} = input;
			const {speeds = {}} = input;
			const nowMs = performance.now();
			this.#rates.record(rates, nowMs);
			this.#leaving.record(leaving, nowMs);
			this.#peerLoads.record(from, inFlight, nowMs);
			this.#peerSpeeds.record(from, speeds, nowMs);
			this.#sharedParts.append(from, shared, nowMs);
			this.#wakeIfNews(input);
		});
		this.#timer = setInterval(() => {
			void this.#sendToPeers();
		}, RELAY_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
		this.#wake();
	}

	async #handleExchange(input: LoadReportInput): Promise<LoadReportOutput> {
		const {from, inFlight, shared, position, waitMs = 0} = input;
		const {rates = {}, leaving = {}, speeds = {}} = input;
		const nowMs = performance.now();
		this.#childLoads.record(from, inFlight, nowMs);
		this.#childSpeeds.record(from, speeds, nowMs);
		this.#sharedParts.append(from, shared, nowMs);
		this.#unsentParts.push(...shared);
		this.#rates.record(rates, nowMs);
		this.#leaving.record(leaving, nowMs);
		this.#wakeIfNews(input);
		const output = this.#createAnswer(from, position);
		if (waitMs === 0 || hasNews(output)) {
			return output;
		}

		await this.#waitForNews(Math.min(waitMs, QUIET_WAIT_MS));
		return this.#createAnswer(from, position);
	}

	#createAnswer(
		from: string,
		position: SharedPartLogPosition | undefined,
	): LoadReportOutput {
		const nowMs = performance.now();
		return {
			rates: this.#rates.report(nowMs),
			leaving: this.#leaving.report(nowMs),
			inFlight: addLoads(
				this.#childLoads.sumOfOthers(from, nowMs),
				this.#peerLoads.sumOfOthers('', nowMs),
			),
			speeds: this.#sumSpeeds(from, nowMs),
			...this.#sharedParts.read(from, position, nowMs),
		};
	}

	async #waitForNews(waitMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				this.#waiting.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			this.#waiting.add(finish);
		});
	}

	#wakeIfNews(update: PlacementUpdate): void {
		if (this.#waiting.size > 0 && hasNews(update)) {
			this.#wake();
		}
	}

	#wake(): void {
		for (const finish of this.#waiting) {
			finish();
		}
	}

	/** Whether the other control daemons already have this summary from a recent message. */
	#isKnownToPeers(
		message: PlacementUpdate,
		peers: readonly FleetMember[],
		nowMs: number,
	): boolean {
		const {shared, rates, leaving, inFlight} = message;
		if (hasNews({shared, rates, leaving, inFlight: {}})) {
			this.#sentSummary = '';
			return false;
		}

		const summary = JSON.stringify([
			inFlight,
			peers.map(({incarnation}) => incarnation),
		]);
		const isRepeated = summary === this.#sentSummary;
		// An idle deployment needs no repetition: summaries that expire mean the same as empty ones.
		const isRecent =
			!hasNews(message) || nowMs - this.#sentAtMs < REPEAT_INTERVAL_MS;
		if (isRepeated && isRecent) {
			return true;
		}

		this.#sentSummary = summary;
		this.#sentAtMs = nowMs;
		return false;
	}

	/** Speeds that the other entry daemons found, for one of them. */
	#sumSpeeds(except: string, nowMs: number): ReportedSpeeds {
		return limitReport(
			addSpeeds(
				this.#childSpeeds.sumOfOthers(except, nowMs),
				this.#peerSpeeds.sumOfOthers('', nowMs),
			),
		);
	}

	async #sendToPeers(): Promise<void> {
		const {view, settings, retries} = this.#context;
		const nowMs = performance.now();
		const peers = view
			.membersWithRole('control')
			.filter(({daemonId}) => daemonId !== settings.daemonId);
		const message = {
			from: settings.daemonId,
			rates: this.#rates.report(nowMs),
			leaving: this.#leaving.report(nowMs),
			inFlight: this.#childLoads.sumOfOthers('', nowMs),
			speeds: limitReport(this.#childSpeeds.sumOfOthers('', nowMs)),
			shared: this.#unsentParts,
		};
		if (this.#isKnownToPeers(message, peers, nowMs)) {
			return;
		}

		this.#unsentParts = [];
		await Promise.all(
			peers.map(async ({daemonId}) => {
				try {
					await this.#peers.network.post(
						daemonId,
						'news.share',
						message,
						'control',
					);
				} catch (error) {
					// Sent again after an interval, as if it had changed; the link itself logs that it is down.
					this.#sentSummary = '';
					retries.increment({step: 'news.share', reason: reasonOf(error)});
				}
			}),
		);
	}
}
