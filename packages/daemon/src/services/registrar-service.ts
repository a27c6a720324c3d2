import {reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	changesSince,
	configurationDigest,
	createRegistrarLease,
	grantLease,
	readElapsedMs,
	applyConfirmation,
} from '@marjoramcove/configuration';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	createMemberRelay,
	createRoster,
	expireRoster,
	registerMember,
	relayedUpdateSince,
	summariseRoster,
	updateRelay,
} from '@marjoramcove/membership';
import type {DaemonId} from '@marjoramcove/types';
import * as z from 'zod';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
import type {GroupClientService} from './group-client-service.ts';
import {
	attemptTimeoutOf,
	type ConfirmAnswer,
	type ConfirmRequest,
	type HeartbeatAnswer,
	heartbeatSchema,
	memberTimeoutOf,
} from './heartbeat-contract.ts';
import type {PeersService} from './peers-service.ts';
import {configGroup, type ReplicationService} from './replication-service.ts';
import {RoundBatcher} from './round-batcher.ts';
import type {UpstreamNotice} from './upstreams-service.ts';

/** Member changes within this time are sent in one summary. */
const summaryDelayMs = 10;
const replicaPollMs = 5;
/** A confirmation that is older than the lease duration divided by this number is renewed. */
const confirmationsPerLease = 8;
/** Share of the lease duration; a heartbeat waits for the renewal of a confirmation that is older. */
const maxConfirmationAgeShare = 0.25;

/** Receives the heartbeats of some of the daemons and grants them leases; runs on daemons that have a disk. */
export class RegistrarService extends Service {
	readonly #context: DaemonContext;
	readonly #roster = createRoster();
	readonly #relay = createMemberRelay();
	readonly #lease = createRegistrarLease();
	readonly #confirmationRounds: RoundBatcher;
	readonly #intervalMs: number;
	#notices: UpstreamNotice[] = [];
	/** Version of the roster that the leader has acknowledged; undefined when it needs a full summary. */
	#confirmedRosterVersion: number | undefined;
	/** Confirmations requested before this time are no longer used. */
	#staleBeforeMs = Number.NEGATIVE_INFINITY;
	#isUrgent = false;
	#replication!: ReplicationService;
	#peers!: PeersService;
	#groups!: GroupClientService;
	#timer: NodeJS.Timeout | undefined;
	#summaryTimer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		const {heartbeatMs, configurationLeaseMs} = context.settings.timing;
		this.#intervalMs = Math.min(
			heartbeatMs,
			configurationLeaseMs / confirmationsPerLease,
		);
		this.#confirmationRounds = new RoundBatcher(
			async () => this.#confirm(),
			this.#intervalMs,
		);
	}

	override get name() {
		return 'registrar';
	}

	override async start(kernel: ServiceDirectory) {
		this.#replication = kernel.get<ReplicationService>('replication');
		this.#groups = kernel.get<GroupClientService>('group-client');
		this.#peers = kernel.get<PeersService>('peers');
		if (!this.#replication.hasDisk) {
			return;
		}

		this.#peers.handle('config.heartbeat', heartbeatSchema, async (input) =>
			this.#handleHeartbeat(input),
		);
		this.#peers.handle(
			'config.refresh',
			z.object({notifyDaemons: z.boolean()}),
			async ({notifyDaemons}) => {
				this.#refresh(notifyDaemons);
				return {};
			},
		);
		this.#peers.handle('config.reports', z.object({}), async () => ({
			reports: [...this.#roster.members.values()].map(
				({report, lastSequence}) => ({report, sequence: lastSequence}),
			),
		}));
		this.#timer = setInterval(() => {
			this.#tick();
		}, this.#context.settings.timing.heartbeatMs);
	}

	override async stop() {
		clearInterval(this.#timer);
		clearTimeout(this.#summaryTimer);
		this.#confirmationRounds.stop();
	}

	get #elapsedMs(): number {
		return readElapsedMs(this.#lease, {
			nowMs: performance.now(),
			wallMs: Date.now(),
		});
	}

	#tick(): void {
		const {heartbeatMs, configurationLeaseMs} = this.#context.settings.timing;
		const isChanged = expireRoster(
			this.#roster,
			{
				memberTimeoutMs: memberTimeoutOf(heartbeatMs),
				keepRemovedMs: 2 * configurationLeaseMs,
			},
			this.#elapsedMs,
		);
		if (isChanged) {
			this.#scheduleSummary();
		}
	}

	async #handleHeartbeat({
		sequence,
		report,
		known,
		notices,
	}: z.output<typeof heartbeatSchema>): Promise<HeartbeatAnswer> {
		const {daemonId} = this.#context.settings;
		if (this.#context.phase === 'draining' && report.daemonId !== daemonId) {
			throw createRefusedError(
				'registrar-leaving',
				'This registrar is leaving.',
				'Send the heartbeat to another registrar.',
			);
		}

		const receivedAtMs = this.#elapsedMs;
		// Register the daemon before granting it a lease: the summary that acknowledges a revision has to
		// list all daemons with older leases.
		if (
			registerMember(this.#roster, {sequence, report, notices}, receivedAtMs)
		) {
			this.#scheduleSummary();
		}

		await this.#ensureFresh(receivedAtMs);
		const grant = grantLease(this.#lease, receivedAtMs);
		const {state} = this.#replication.configuration;
		if (!grant || state.revision < grant.digest.revision) {
			throw createRefusedError(
				'registrar-behind',
				'This registrar has not confirmed its copy of the configuration.',
				'Send the heartbeat to another registrar.',
			);
		}

		return {
			leaseMs: grant.leaseMs,
			digest: configurationDigest(state),
			...(report.appliedRevision < state.revision && {
				update: changesSince(state, report.appliedRevision),
			}),
			members: relayedUpdateSince(this.#relay, known),
			...(this.#notices.length > 0 && {notices: this.#notices}),
		};
	}

	/**
	 * Renews an old confirmation. Waits for the renewal only when the current confirmation is too old to
	 * grant a long lease or predates a change. Then waits until the local replica has the confirmed revision.
	 */
	async #ensureFresh(receivedAtMs: number): Promise<void> {
		const {configurationLeaseMs} = this.#context.settings.timing;
		const sentAtMs =
			this.#lease.confirmation?.sentAtMs ?? Number.NEGATIVE_INFINITY;
		const ageMs = receivedAtMs - sentAtMs;
		if (
			ageMs > configurationLeaseMs * maxConfirmationAgeShare ||
			sentAtMs < this.#staleBeforeMs
		) {
			this.#isUrgent = true;
			await this.#confirmationRounds.next({isUrgent: true});
		} else if (ageMs > this.#intervalMs) {
			void this.#requestConfirmation({isUrgent: false});
		}

		const deadlineMs = performance.now() + this.#attemptTimeoutMs;
		while (
			this.#replication.configuration.state.revision <
				(this.#lease.confirmation?.digest.revision ?? 0) &&
			performance.now() < deadlineMs
		) {
			await sleep(replicaPollMs);
		}
	}

	get #attemptTimeoutMs(): number {
		return attemptTimeoutOf(this.#context.settings.timing.heartbeatMs);
	}

	/** Asks the leader to confirm the configuration and sends it the member changes since the last request. */
	async #confirm(): Promise<void> {
		const isUrgent = this.#isUrgent;
		this.#isUrgent = false;
		for (;;) {
			const sentAtMs = this.#elapsedMs;
			const {version} = this.#roster;
			const isFull = this.#confirmedRosterVersion === undefined;
			const answer = await this.#askLeader(isUrgent);
			if (!answer.needsFullSummary) {
				this.#confirmedRosterVersion = version;
				this.#applyAnswer(sentAtMs, answer);
				return;
			}

			this.#confirmedRosterVersion = undefined;
			if (isFull) {
				throw createRefusedError(
					'registrar-behind',
					'The leader did not accept the summary of this registrar.',
					'Retry with the next heartbeat.',
				);
			}
		}
	}

	async #askLeader(isUrgent: boolean): Promise<ConfirmAnswer> {
		const {epoch, version} = this.#relay.view;
		const request: ConfirmRequest = {
			registrarId: this.#context.settings.daemonId,
			incarnation: this.#context.incarnation,
			confirmedRevision: this.#lease.confirmation?.digest.revision ?? -1,
			summary: summariseRoster(this.#roster, this.#confirmedRosterVersion),
			...(epoch !== '' && {known: {epoch, version}}),
			isUrgent,
		};
		return this.#groups.call<ConfirmAnswer>(
			configGroup,
			'config.confirm',
			request,
			{
				timeoutMs: 2 * this.#attemptTimeoutMs,
				attemptTimeoutMs: this.#attemptTimeoutMs,
				channel: 'control',
			},
		);
	}

	#applyAnswer(
		sentAtMs: number,
		answer: Extract<ConfirmAnswer, {needsFullSummary: false}>,
	): void {
		const {leaseMs, digest, members, notices} = answer;
		try {
			applyConfirmation(this.#lease, {sentAtMs, leaseMs, digest});
		} catch (error) {
			// Two hashes for one revision mean that the state of this daemon or of the leader is corrupt.
			this.#context.fail(error);
			throw error;
		}

		this.#notices = notices;
		if (members && !updateRelay(this.#relay, members)) {
			this.#relay.view.epoch = '';
		}
	}

	/** Schedules a report of member changes to the leader, without waiting for the next heartbeat. */
	#scheduleSummary(): void {
		this.#summaryTimer ??= setTimeout(() => {
			this.#summaryTimer = undefined;
			void this.#requestConfirmation();
		}, summaryDelayMs);
	}

	async #requestConfirmation({
		isUrgent = true,
	}: {isUrgent?: boolean} = {}): Promise<void> {
		this.#isUrgent ||= isUrgent;
		try {
			await this.#confirmationRounds.next({isUrgent});
		} catch (error) {
			this.#context.retries.increment({
				step: 'confirm',
				reason: reasonOf(error),
			});
		}
	}

	/** Renews the confirmation after a change of the configuration or the members. */
	#refresh(notifyDaemons: boolean): void {
		this.#staleBeforeMs = this.#elapsedMs;
		void this.#requestConfirmation();
		if (notifyDaemons) {
			for (const daemonId of this.#roster.members.keys()) {
				void this.#notifyDaemon(daemonId);
			}
		}
	}

	async #notifyDaemon(daemonId: DaemonId): Promise<void> {
		try {
			await this.#peers.call(
				daemonId,
				'config.notice',
				{},
				{timeoutMs: 1000, channel: 'control'},
			);
		} catch (error) {
			this.#context.retries.increment({
				step: 'notice',
				reason: reasonOf(error),
			});
		}
	}
}
