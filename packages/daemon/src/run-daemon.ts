import {messageOf, reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import {Kernel} from '@marjoramcove/kernel';
import {createLogger} from '@marjoramcove/logger';
import type {Settings} from '@marjoramcove/settings';
import {createDaemonContext, type DaemonContext} from './daemon-context.ts';
import {ConfigurationService} from './services/configuration-service.ts';
import {ConfigurationLeaderService} from './services/configuration-leader-service.ts';
import {DispatcherService} from './services/dispatcher-service.ts';
import {EngineControllerService} from './services/engine-controller-service.ts';
import {EntryService} from './services/entry-service.ts';
import {
	findTransferableGroups,
	findGroupsLosingQuorum,
} from './services/find-drain-groups.ts';
import {GroupClientService} from './services/group-client-service.ts';
import {OwnerService} from './services/owner-service.ts';
import {PeerListenerService} from './services/peer-listener-service.ts';
import {PeersService} from './services/peers-service.ts';
import {RegistrarService} from './services/registrar-service.ts';
import {ReplicationService} from './services/replication-service.ts';
import {UpstreamsService} from './services/upstreams-service.ts';

const pollIntervalMs = 50;

/** A daemon that runs until it is drained. */
class Daemon {
	readonly #context: DaemonContext;
	readonly #kernel = new Kernel();
	readonly #replication: ReplicationService;
	readonly #configuration: ConfigurationService;
	readonly #dispatcher: DispatcherService;
	readonly #entry: EntryService;
	#drainPromise: Promise<void> | undefined;
	#hasHandedOverLeadership = false;
	#readyTimer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext, onDrainRequested: () => void) {
		this.#context = context;
		this.#replication = new ReplicationService(context);
		this.#configuration = new ConfigurationService(context);
		this.#dispatcher = new DispatcherService(context);
		this.#entry = new EntryService(context, onDrainRequested);
		for (const service of [
			new PeersService(context),
			new GroupClientService(context),
			this.#replication,
			new ConfigurationLeaderService(context),
			new RegistrarService(context),
			this.#configuration,
			new UpstreamsService(context),
			new OwnerService(context),
			this.#dispatcher,
			new EngineControllerService(context),
			new PeerListenerService(context),
			this.#entry,
		]) {
			this.#kernel.register(service);
		}
	}

	async start(): Promise<void> {
		await this.#kernel.start();
		const {settings, incarnation, logger} = this.#context;
		logger.info({
			event: 'daemon-started',
			zone: settings.zone,
			httpPort: settings.listen.httpPort,
			peerPort: settings.listen.peerPort,
			incarnation,
		});
		this.#readyTimer = setInterval(() => {
			if (this.#context.phase === 'starting' && this.#configuration.hasLease) {
				this.#context.phase = 'ready';
				this.#configuration.heartbeat();
				logger.info({event: 'daemon-ready'});
			}

			if (this.#context.phase !== 'starting') {
				clearInterval(this.#readyTimer);
			}
		}, pollIntervalMs);
	}

	/** Stops accepting work and waits until all accepted work has finished. Repeated calls share one drain. */
	async drain(): Promise<void> {
		this.#drainPromise ??= this.#drainOnce();
		return this.#drainPromise;
	}

	async stop(): Promise<void> {
		clearInterval(this.#readyTimer);
		await this.#kernel.stop();
	}

	async #drainOnce(): Promise<void> {
		const {logger} = this.#context;
		const startedMs = performance.now();
		this.#context.phase = 'draining';
		logger.info({event: 'drain-started'});
		this.#configuration.heartbeat();
		const handOver = async () => {
			await this.#replication.transferLeaderships();
			this.#hasHandedOverLeadership = true;
		};

		void handOver();
		await this.#waitUntilIdle(startedMs);
		await this.#kernel.drain();
		logger.info({
			event: 'drain-finished',
			durationMs: Math.round(performance.now() - startedMs),
		});
	}

	/** Waits for pending work, and at least as long as callers may use cached addresses. */
	async #waitUntilIdle(startedMs: number): Promise<void> {
		const {addressTtlMs, drainTimeoutMs} = this.#context.settings.timing;
		let nextReportMs = startedMs + drainTimeoutMs;
		for (;;) {
			const nowMs = performance.now();
			const pending = this.#countPendingWork();
			const isIdle = Object.values(pending).every((count) => count === 0);
			if (isIdle && nowMs >= startedMs + addressTtlMs) {
				return;
			}

			if (nowMs >= nextReportMs) {
				nextReportMs += drainTimeoutMs;
				this.#context.logger.warn({event: 'drain-continues', ...pending});
			}

			await sleep(pollIntervalMs);
		}
	}

	/** Counts the work to finish, and the groups that still depend on this daemon, before it may stop. */
	#countPendingWork() {
		const groups = this.#replication.status();
		const {daemonId} = this.#context.settings;
		const {readyDaemons} = this.#configuration;
		const ledGroups = this.#hasHandedOverLeadership
			? []
			: findTransferableGroups(groups, daemonId, readyDaemons);
		const neededGroups = findGroupsLosingQuorum(groups, {
			daemonId,
			readyDaemons,
			hasOpenCalls: (groupId) => this.#replication.hasOpenCalls(groupId),
		});
		return {
			requests: this.#entry.activeRequests,
			runs: this.#dispatcher.activeRuns,
			ledGroups: ledGroups.length,
			neededGroups: neededGroups.length,
		};
	}
}

/** Drains the daemon on a termination signal and reports unexpected errors of the process. */
const handleProcessEvents = (
	context: DaemonContext,
	drain: () => Promise<void>,
): void => {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void drain();
		});
	}

	process.on('unhandledRejection', (error) => {
		context.logger.error({
			event: 'unhandled-rejection',
			error: messageOf(error),
			stack: error instanceof Error ? error.stack : undefined,
		});
	});
	process.on('uncaughtException', (error) => {
		context.fail(error);
	});
};

/** Starts a daemon; `finish` receives the exit code once the daemon has been drained. */
const startDaemon = async (
	context: DaemonContext,
	finish: (code: number) => Promise<void>,
): Promise<void> => {
	let draining: Promise<void> | undefined;
	const drain = async () => {
		// A second signal neither shortens nor repeats the drain.
		draining ??= (async () => {
			await daemon.drain();
			await daemon.stop();
			await finish(0);
		})();
		return draining;
	};

	const daemon = new Daemon(context, () => {
		void drain();
	});
	handleProcessEvents(context, drain);
	try {
		await daemon.start();
	} catch (error) {
		context.fail(error);
	}
};

/**
 * Runs a daemon until it has been drained by SIGTERM or an operator, then resolves with the exit code.
 *
 * @example
 * ```ts
 * process.exitCode = await runDaemon(await readSettings('daemon.yaml'));
 * ```
 */
export const runDaemon = async (settings: Settings): Promise<number> => {
	const {logger, close} = await createLogger({
		...settings.logs,
		fields: {daemon: settings.daemonId},
	});
	return new Promise<number>((resolve) => {
		const finish = async (code: number) => {
			await close();
			resolve(code);
		};

		const context = createDaemonContext(settings, logger, (error) => {
			logger.error({
				event: 'daemon-failed',
				reason: reasonOf(error),
				error: messageOf(error),
			});
			// The state may be inconsistent: nothing more may be written, so the process exits without a drain.
			void finish(1);
		});
		void startDaemon(context, finish);
	});
};
