import {messageOf, reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import {Kernel, type Service} from '@marjoramcove/kernel';
import {createLogger} from '@marjoramcove/logger';
import type {GatewayAdapter} from './gateway-adapter.ts';
import {areHelperThreadsIdle, endAtOnce} from './end-process.ts';
import {createGatewayContext, type GatewayContext} from './gateway-context.ts';
import type {GatewaySettings} from './gateway-settings.ts';
import {CapacityService} from './services/capacity-service.ts';
import {ControlService} from './services/control-service.ts';
import {EntryService} from './services/entry-service.ts';
import {FleetService} from './services/fleet-service.ts';
import {
	createDirectory,
	createMetricsListener,
	HttpService,
} from './services/http-service.ts';
import {InventoryService} from './services/inventory-service.ts';
import {LoadExchangeService} from './services/load-exchange-service.ts';
import {LoadRelayService} from './services/load-relay-service.ts';
import {PeerListenerService, PeersService} from './services/peers-service.ts';
import {QuotaBorrowerService} from './services/quota-borrower-service.ts';
import {QuotaOwnerService} from './services/quota-owner-service.ts';
import {RepairService} from './services/repair-service.ts';
import {
	type SettingsReader,
	SettingsService,
} from './services/settings-service.ts';
import {ShardPlannerService} from './services/shard-planner-service.ts';
import {StoreService} from './services/store-service.ts';
import {TurnsService} from './services/turns-service.ts';

/**
 * Longest wait for the drain report, so that an unresponsive parent does not delay the stop. Callers keep
 * the address for a while in any case.
 */
const STOP_REPORT_TIMEOUT_MS = 300;

/** Longest time for which a daemon with a disk transfers its leaderships before it stops. */
const LEADERSHIP_TRANSFER_TIMEOUT_MS = 3000;

const createControlServices = (
	context: GatewayContext,
	peers: PeersService,
): Service[] => {
	const {adapter, settings} = context;
	const control = new ControlService(context);
	const {control: controlAddress, directory} = settings.listen;
	return [
		control,
		new RepairService(context, control),
		new ShardPlannerService(context),
		new InventoryService(context),
		new LoadRelayService(context),
		...(settings.quotas
			? [new QuotaOwnerService(context, control, settings.quotas)]
			: []),
		new PeerListenerService(context, peers),
		...(controlAddress === undefined
			? []
			: [
					new HttpService(
						'operator-api',
						controlAddress,
						adapter.createOperatorListener(control),
					),
				]),
		...(directory === undefined
			? []
			: [
					new HttpService(
						'directory',
						directory,
						adapter.createDirectoryListener(createDirectory(context)),
					),
				]),
	];
};

const createEntryServices = (context: GatewayContext): Service[] => {
	const {listen, quotas, resources} = context.settings;
	const borrower = quotas && new QuotaBorrowerService(context);
	context.quotas = borrower;
	const entry = new EntryService(context);
	const {ready} = listen;
	return [
		...(resources ? [new CapacityService(context, resources)] : []),
		new TurnsService(context),
		...(borrower ? [borrower] : []),
		entry,
		new LoadExchangeService(context, entry.upstreams.placement),
		...(ready === undefined
			? []
			: [
					new HttpService(
						'ready',
						ready,
						context.adapter.createReadyListener(() => entry.isReady),
					),
				]),
	];
};

const createServices = (
	context: GatewayContext,
	readSettings: SettingsReader,
): Service[] => {
	const peers = new PeersService(context);
	const fleet = new FleetService(context);
	const {role, listen} = context.settings;
	const common = [
		new SettingsService(context, readSettings),
		peers,
		fleet,
		...(listen.metrics === undefined
			? []
			: [
					new HttpService(
						'metrics',
						listen.metrics,
						createMetricsListener(context),
					),
				]),
	];
	switch (role) {
		case 'control': {
			return [...common, ...createControlServices(context, peers)];
		}

		case 'state': {
			const storeService = new StoreService(context);
			return [
				...common,
				storeService,
				new RepairService(context, storeService),
				new PeerListenerService(context, peers),
			];
		}

		case 'entry': {
			return [...common, ...createEntryServices(context)];
		}
	}
};

/** A daemon from its start to the end of its drain. */
class Gateway {
	readonly #context: GatewayContext;
	readonly #kernel = new Kernel();
	#drained: Promise<void> | undefined;

	constructor(context: GatewayContext, readSettings: SettingsReader) {
		this.#context = context;
		for (const service of createServices(context, readSettings)) {
			this.#kernel.register(service);
		}
	}

	async start(): Promise<void> {
		const {settings, incarnation, logger} = this.#context;
		logger.info({
			event: 'daemon-starting',
			role: settings.role,
			zone: settings.zone,
			peer: settings.daemonId,
			incarnation,
			isFirstFormation: settings.isFirstFormation,
			seeds: settings.seeds.join(','),
		});
		await this.#kernel.start();
		if (settings.role === 'control') {
			this.#context.phase = 'ready';
		}

		logger.info({event: 'daemon-started', role: settings.role});
	}

	/** Drains and stops the daemon; repeated calls have no further effect. */
	async drain(): Promise<void> {
		this.#drained ??= this.#drainOnce();
		return this.#drained;
	}

	async #drainOnce(): Promise<void> {
		const {logger, settings} = this.#context;
		const startedAtMs = performance.now();
		this.#context.phase = 'draining';
		this.#context.stopAtMs = startedAtMs + settings.timing.stopDeadlineMs;
		logger.info({event: 'drain-started'});
		await Promise.race([
			this.#kernel.get<FleetService>('fleet').reportNow(),
			sleep(STOP_REPORT_TIMEOUT_MS),
		]);
		await (settings.role === 'entry'
			? this.#drainEntry(startedAtMs)
			: Promise.race([
					this.#kernel.drain(),
					sleep(LEADERSHIP_TRANSFER_TIMEOUT_MS),
				]));

		logger.info({
			event: 'drain-finished',
			durationMs: Math.round(performance.now() - startedAtMs),
		});
		await this.#kernel.stop();
	}

	/**
	 * Keeps serving while callers may have this address cached, except for requests that may outlast the stop,
	 * then waits for in-flight requests.
	 */
	async #drainEntry(startedAtMs: number): Promise<void> {
		const entry = this.#kernel.get<EntryService>('entry');
		const {entryDrainMs, stopDeadlineMs} = this.#context.settings.timing;
		const elapsedMs = () => performance.now() - startedAtMs;
		await sleep(Math.max(0, entryDrainMs - elapsedMs()));
		const isComplete = await entry.finishRequests(
			Math.max(0, stopDeadlineMs - elapsedMs()),
		);
		if (!isComplete) {
			this.#context.logger.warn({
				event: 'requests-cut-by-stop',
				requests: entry.activeRequests,
			});
		}
	}
}

const handleProcessEvents = (
	context: GatewayContext,
	drain: () => void,
): void => {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, drain);
	}

	process.on('unhandledRejection', (error) => {
		context.logger.error({
			event: 'unhandled-rejection',
			reason: reasonOf(error),
			error: messageOf(error),
			stack: error instanceof Error ? error.stack : undefined,
		});
	});
	process.on('uncaughtException', (error) => {
		context.fail(error);
	});
};

/**
 * Runs a daemon that discovers its peers through seeds. Resolves with the exit code once SIGTERM has
 * drained it.
 *
 * @param readSettings - reloads the settings; seeds may change while the daemon runs.
 * @example
 * ```ts
 * process.exitCode = await runGateway(settings, new MyAdapter(), readSettings);
 * ```
 */
export const runGateway = async (
	settings: GatewaySettings,
	adapter: GatewayAdapter,
	readSettings: SettingsReader,
): Promise<number> => {
	const {logger, dropped, close} = await createLogger({
		...settings.logs,
		fields: {daemon: settings.name},
	});
	return new Promise<number>((resolve) => {
		const finish = async (code: number, {isHung = false} = {}) => {
			const isLogWritten = await close();
			if (isHung || !isLogWritten || !(await areHelperThreadsIdle())) {
				endAtOnce();
			}

			resolve(code);
		};

		const context = createGatewayContext({
			settings,
			adapter,
			logger,
			droppedLogLines: dropped,
			fail(error) {
				logger.error({
					event: 'daemon-failed',
					reason: reasonOf(error),
					error: messageOf(error),
					stack: error instanceof Error ? error.stack : undefined,
				});
				// The state may be corrupt, so nothing more may be written and the process does not drain.
				void finish(1);
			},
		});
		const gateway = new Gateway(context, readSettings);
		let isDraining = false;
		handleProcessEvents(context, () => {
			if (isDraining) {
				return;
			}

			isDraining = true;
			const {stopDeadlineMs} = settings.timing;
			const deadlineTimer = setTimeout(() => {
				// A hung disk or connection must not keep the process running until it is killed.
				logger.warn({event: 'drain-overdue', stopDeadlineMs});
				void finish(0, {isHung: true});
			}, stopDeadlineMs);
			void (async () => {
				try {
					await gateway.drain();
				} catch (error) {
					logger.error({
						event: 'drain-failed',
						reason: reasonOf(error),
						error: messageOf(error),
					});
				}

				clearTimeout(deadlineTimer);
				await finish(0);
			})();
		});
		void (async () => {
			try {
				await gateway.start();
			} catch (error) {
				context.fail(error);
			}
		})();
	});
};
