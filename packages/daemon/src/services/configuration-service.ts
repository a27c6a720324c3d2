import {reasonOf} from '@marjoramcove/errors';
import {
	ConfigurationView,
	createLeaseState,
	isLeaseValid,
	type LeaseAction,
	type LeaseEvent,
	type LeaseState,
	stepLease,
} from '@marjoramcove/configuration';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	applyMembershipUpdate,
	createMembershipView,
	type Member,
	type MembershipView,
} from '@marjoramcove/membership';
import {backoffDelay} from '@marjoramcove/transport';
import type {DaemonId} from '@marjoramcove/types';
import * as z from 'zod';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';
import {attemptTimeoutOf, type HeartbeatAnswer} from './heartbeat-contract.ts';
import {RegistrarSelector} from './registrar-selector.ts';
import type {UpstreamNotice} from './upstreams-service.ts';

const maxTickIntervalMs = 500;
const maxPendingHeartbeats = 3;
const backoff = {initialMs: 20, maximumMs: 500};

type NoticeExchange = {
	collect: () => UpstreamNotice[];
	apply: (notices: readonly UpstreamNotice[]) => void;
};

/** Holds this daemon's copy of the configuration and the members, kept up to date by heartbeats to a registrar. */
export class ConfigurationService extends Service {
	readonly view = new ConfigurationView();
	/** Functions whose values are merged into the load report of each heartbeat. */
	readonly loadSources: Array<() => Record<string, number>> = [];
	readonly #context: DaemonContext;
	readonly #membership: MembershipView = createMembershipView();
	readonly #registrars: RegistrarSelector;
	readonly #changeListeners = new Set<() => void>();
	#notices: NoticeExchange = {
		collect: () => [],
		apply() {
			// No service has registered for notices.
		},
	};

	#peers!: PeersService;
	#lease: LeaseState = createLeaseState();
	#timers: NodeJS.Timeout[] = [];
	#pendingHeartbeats = 0;
	/** Heartbeats that have failed since the last one that was answered. */
	#failures = 0;
	#retryTimer: NodeJS.Timeout | undefined;
	#hadLease = false;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		this.#registrars = new RegistrarSelector(context.settings);
	}

	override get name() {
		return 'configuration';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		this.#peers.handle('config.notice', z.object({}), async () => {
			this.heartbeat();
			return {};
		});
		const {heartbeatMs} = this.#context.settings.timing;
		this.#timers = [
			setInterval(
				() => {
					this.#step({type: 'tick', wallMs: Date.now()});
					this.#logLease();
				},
				Math.min(maxTickIntervalMs, heartbeatMs),
			),
			setInterval(() => {
				this.heartbeat();
			}, heartbeatMs),
		];
		this.#step({type: 'tick', wallMs: Date.now()});
		// Deferred, because the procedures of this daemon are registered only once all services have started.
		setImmediate(() => {
			this.heartbeat();
		});
	}

	override async stop() {
		clearTimeout(this.#retryTimer);
		for (const timer of this.#timers) {
			clearInterval(timer);
		}
	}

	/** Whether the lease on the configuration is valid, so that this daemon may accept new work. */
	get hasLease(): boolean {
		return isLeaseValid(this.#lease, performance.now(), Date.now());
	}

	/** Live daemons as the configuration leader last reported them through the registrar. */
	get members(): ReadonlyMap<DaemonId, Member> {
		return this.#membership.members;
	}

	/** Live daemons that accept work. */
	get readyDaemons(): DaemonId[] {
		return [...this.#membership.members.values()]
			.filter((member) => member.phase === 'ready')
			.map((member) => member.daemonId);
	}

	/** Sets the source of the notices sent with each heartbeat and the receiver of the notices of all dispatchers. */
	exchangeNotices(exchange: NoticeExchange): void {
		this.#notices = exchange;
	}

	/** Calls the listener after each change of the configuration or the members. */
	onChange(listener: () => void): void {
		this.#changeListeners.add(listener);
	}

	/**
	 * Throws unless the lease is valid.
	 *
	 * @throws RefusedError `configuration-lease-expired` with addresses of other daemons.
	 */
	assertLease(): void {
		if (!this.hasLease) {
			throw createRefusedError(
				'configuration-lease-expired',
				'This daemon has no valid lease on the configuration.',
				'Send the request to one of the other addresses.',
				{addresses: this.otherAddresses()},
			);
		}
	}

	/** HTTP addresses of other daemons that accept work; those in the settings when none is known to be ready. */
	otherAddresses(): string[] {
		const {daemonId, cluster} = this.#context.settings;
		const ready = [...this.#membership.members.values()]
			.filter(
				(member) => member.phase === 'ready' && member.daemonId !== daemonId,
			)
			.map((member) => member.address);
		return ready.length > 0
			? ready.slice(0, 8)
			: cluster.peers
					.filter((peer) => peer.daemonId !== daemonId)
					.map((peer) => peer.httpAddress)
					.slice(0, 8);
	}

	/** Sends a heartbeat immediately, for example after a phase change. */
	heartbeat(): void {
		if (this.#pendingHeartbeats >= maxPendingHeartbeats) {
			this.#context.retries.increment({
				step: 'heartbeat',
				reason: 'heartbeat-pending',
			});
			return;
		}

		for (const action of this.#step({type: 'send-heartbeat'})) {
			if (action.type === 'send-heartbeat') {
				void this.#sendHeartbeat(action.sequence, action.appliedRevision);
			}
		}
	}

	async #sendHeartbeat(sequence: number, appliedRevision: number) {
		const registrarId = this.#registrars.choose(
			this.members,
			performance.now(),
		);
		this.#pendingHeartbeats++;
		try {
			const answer = await this.#peers.call<HeartbeatAnswer>(
				registrarId,
				'config.heartbeat',
				this.#createHeartbeat(sequence, appliedRevision),
				{timeoutMs: this.#attemptTimeoutMs, channel: 'control'},
			);
			this.#failures = 0;
			this.#applyAnswer(sequence, answer);
		} catch (error) {
			this.#context.retries.increment({
				step: 'heartbeat',
				reason: reasonOf(error),
			});
			this.#retryWithAnotherRegistrar(registrarId);
		} finally {
			this.#pendingHeartbeats--;
		}
	}

	get #attemptTimeoutMs(): number {
		return attemptTimeoutOf(this.#context.settings.timing.heartbeatMs);
	}

	/**
	 * Sends a new heartbeat to another registrar after a backoff. It has its own sequence number, from
	 * which the leader knows which registrar received the latest heartbeat of this daemon.
	 */
	#retryWithAnotherRegistrar(failedId: DaemonId): void {
		const {heartbeatMs} = this.#context.settings.timing;
		this.#registrars.avoid(failedId, performance.now() + 5 * heartbeatMs);
		this.#retryTimer ??= setTimeout(
			() => {
				this.#retryTimer = undefined;
				this.heartbeat();
			},
			backoffDelay(this.#failures++, backoff, Math.random()),
		);
	}

	#createHeartbeat(sequence: number, appliedRevision: number) {
		const {settings, incarnation, startedAtMs, phase} = this.#context;
		const {epoch, version} = this.#membership;
		return {
			sequence,
			report: {
				daemonId: settings.daemonId,
				incarnation,
				startedAtMs,
				zone: settings.zone,
				address: this.#httpAddress,
				peerAddress: this.#peerAddress,
				phase,
				appliedRevision,
				load: Object.assign(
					{},
					...this.loadSources.map((source) => source()),
				) as Record<string, number>,
			},
			...(epoch !== '' && {known: {epoch, version}}),
			notices: this.#notices.collect(),
		};
	}

	#applyAnswer(sequence: number, answer: HeartbeatAnswer): void {
		try {
			if (answer.update && this.view.applyUpdate(answer.update) === 'applied') {
				const {revision} = this.view.digest;
				this.#step({type: 'revision-applied', revision});
				this.#context.logger.info({event: 'configuration-applied', revision});
				this.#notifyListeners();
				// Confirms the revision immediately, because the operator waits for the confirmations.
				setImmediate(() => {
					this.heartbeat();
				});
			}

			this.#step({
				type: 'heartbeat-answered',
				sequence,
				leaseMs: answer.leaseMs,
				digest: answer.digest,
			});
			this.#applyMembers(answer);
			this.#notices.apply(answer.notices ?? []);
		} catch (error) {
			this.#context.fail(error);
		}
	}

	#applyMembers({members}: HeartbeatAnswer): void {
		const {epoch, version} = this.#membership;
		if (!applyMembershipUpdate(this.#membership, members)) {
			this.#membership.epoch = '';
			return;
		}

		if (epoch !== members.epoch || version !== members.version) {
			for (const member of this.#membership.members.values()) {
				this.#peers.learnAddress(member.daemonId, member.peerAddress);
			}

			this.#notifyListeners();
		}
	}

	#step(event: LeaseEvent): LeaseAction[] {
		const {state, actions} = stepLease(this.#lease, event, performance.now());
		this.#lease = state;
		for (const action of actions) {
			if (action.type === 'freeze-detected') {
				this.#context.logger.warn({
					event: 'freeze-detected',
					gapMs: Math.round(action.gapMs),
				});
			}
		}

		return actions;
	}

	#logLease(): void {
		if (this.hasLease !== this.#hadLease) {
			this.#hadLease = this.hasLease;
			this.#context.logger.info({
				event: this.#hadLease ? 'lease-valid' : 'lease-expired',
				revision: this.view.digest.revision,
			});
		}
	}

	#notifyListeners(): void {
		for (const listener of this.#changeListeners) {
			listener();
		}
	}

	get #httpAddress(): string {
		const {advertise, listen} = this.#context.settings;
		return advertise.httpAddress ?? `${listen.host}:${listen.httpPort}`;
	}

	get #peerAddress(): string {
		const {advertise, listen} = this.#context.settings;
		return advertise.peerAddress ?? `${listen.host}:${listen.peerPort}`;
	}
}
