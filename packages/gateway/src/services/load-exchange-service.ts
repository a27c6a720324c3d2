import {setTimeout as sleep} from 'node:timers/promises';
import {reasonOf} from '@marjoramcove/errors';
import {
	deriveExchangeIntervalMs,
	type Placement,
	type PlacementUpdate,
	type SharedPartLogPosition,
} from '@marjoramcove/balancer';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {logRateChange} from '../entry/log-rate-change.ts';
import {logServerLeaving} from '../entry/log-server-leaving.ts';
import {logSpeedChanges} from '../entry/log-speed-change.ts';
import type {GatewayContext} from '../gateway-context.ts';
import {hasNews, QUIET_WAIT_MS} from '../load-news.ts';
import type {LoadReportOutput} from '../peer-messages.ts';
import type {FleetService} from './fleet-service.ts';
import type {PeersService} from './peers-service.ts';

/** Timeout of an exchange; a later response would be older than the next one. */
const EXCHANGE_TIMEOUT_MS = 300;

/** Reports the load of this entry daemon to its parent and receives the load of the others. */
export class LoadExchangeService extends Service {
	readonly #context: GatewayContext;
	readonly #placement: Placement;
	#peers!: PeersService;
	#fleet!: FleetService;
	#isStopped = false;
	#position: SharedPartLogPosition | undefined;
	/** Whether the last response held no report. */
	#isQuiet = false;
	#lastStarted = 0;

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
		void this.#runExchangeLoop();
	}

	override async stop() {
		this.#isStopped = true;
	}

	async #runExchangeLoop(): Promise<void> {
		while (!this.#isStopped) {
			const entryCount = this.#context.view.membersWithRole('entry').length;
			const startedAtMs = performance.now();
			await this.#exchangeOnce(deriveExchangeIntervalMs(entryCount));
			const elapsedMs = performance.now() - startedAtMs;
			await sleep(
				Math.max(1, deriveExchangeIntervalMs(entryCount) - elapsedMs),
			);
		}
	}

	/** Exchanges reports. An exchange without any is held by the parent, until this daemon has one itself. */
	async #exchangeOnce(intervalMs: number): Promise<void> {
		const update = this.#placement.takeUpdate(performance.now());
		if (!this.#isQuiet || hasNews(update)) {
			await this.#exchange(update, 0);
			return;
		}

		const {parentId} = this.#fleet;
		const exchange = (async () => {
			await this.#exchange(update, QUIET_WAIT_MS);
			return true;
		})();
		const wait = async () => sleep(intervalMs, false);
		while (!(await Promise.race([exchange, wait()]))) {
			const hasUpdate = this.#placement.hasUpdate(performance.now());
			if (hasUpdate || this.#fleet.parentId !== parentId) {
				return;
			}
		}
	}

	async #exchange(update: PlacementUpdate, waitMs: number): Promise<void> {
		const {parentId} = this.#fleet;
		if (parentId === undefined) {
			return;
		}

		const started = ++this.#lastStarted;
		try {
			const {position, ...loadReport} =
				await this.#peers.network.call<LoadReportOutput>(
					parentId,
					'news.exchange',
					{
						from: this.#context.settings.daemonId,
						...update,
						position: this.#position,
						waitMs,
					},
					{
						timeoutMs: waitMs + EXCHANGE_TIMEOUT_MS,
						isHeld: waitMs > 0,
						channel: 'control',
					},
				);
			if (started !== this.#lastStarted) {
				// A held exchange that a newer one has overtaken.
				return;
			}

			this.#isQuiet = !hasNews(loadReport);
			this.#position = position;
			const nowMs = performance.now();
			this.#context.loadReportedAtMs = nowMs;
			const applied = this.#placement.applyUpdate(loadReport, nowMs);
			for (const load of applied.rateChanged) {
				logRateChange(this.#context.logger, load, 'daemon');
			}

			logSpeedChanges(
				this.#context,
				this.#placement.servers,
				applied.speedChanged,
				nowMs,
			);
			for (const load of applied.startedLeaving) {
				const ageMs = loadReport.leaving?.[load.key] ?? 0;
				logServerLeaving(this.#context, load, 'daemon', nowMs - ageMs);
			}
		} catch (error) {
			this.#isQuiet = false;
			// Without load reports, the daemon relies on its own requests only.
			this.#placement.applyUpdate(
				{inFlight: {}, shared: []},
				performance.now(),
			);
			this.#context.retries.increment({
				step: 'news.exchange',
				reason: reasonOf(error),
			});
		}
	}
}
