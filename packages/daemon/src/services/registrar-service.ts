import {reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	changesSince,
	configurationDigest,
	createRegistrarLease,
	grantLease,
	readElapsedMs,
	takeConfirmation,
} from '@marjoramcove/configuration';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	createMemberRelay,
	createRoster,
	expireRoster,
	registerMember,
	relaySince,
	summariseRoster,
	updateRelay,
} from '@marjoramcove/membership';
import type {DaemonId} from '@marjoramcove/types';
import * as z from 'zod';
import {type DaemonContext, refusal} from '../daemon-context.ts';
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
import {RoundGate} from './round-gate.ts';
import type {UpstreamNotice} from './upstreams-service.ts';

/** Changes of members within this time travel in one summary. */
const summaryDelayMs = 10;
const replicaPollMs = 5;
/** A part of the lease; an older confirmation is renewed before it is used. */
const confirmationsPerLease = 8;
/** A heartbeat does not wait for the renewal of a confirmation that still allows this much less lease. */
const oldestUsedShare = 0.25;

/** A daemon with state: takes the heartbeats of a part of the daemons and grants leases to them. */
export class RegistrarService extends Service {
	readonly #context: DaemonContext;
	readonly #roster = createRoster();
	readonly #relay = createMemberRelay();
	readonly #lease = createRegistrarLease();
	readonly #gate: RoundGate;
	readonly #intervalMs: number;
	#notices: UpstreamNotice[] = [];
	/** Version of the roster that the leader has confirmed. */
	#summarisedVersion: number | undefined;
	/** Confirmations requested before this time are not used any more. */
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
		this.#gate = new RoundGate(async () => this.#confirm(), this.#intervalMs);
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
			this.#takeHeartbeat(input),
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
		this.#gate.stop();
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
			this.#summariseSoon();
		}
	}

	async #takeHeartbeat({
		sequence,
		report,
		known,
		notices,
	}: z.output<typeof heartbeatSchema>): Promise<HeartbeatAnswer> {
		const {daemonId} = this.#context.settings;
		if (this.#context.phase === 'draining' && report.daemonId !== daemonId) {
			throw refusal(
				'registrar-leaving',
				'This registrar is leaving.',
				'Send the heartbeat to another registrar.',
			);
		}

		const receivedAtMs = this.#elapsedMs;
		// The daemon must be in the roster before it gets a lease: the summary that acknowledges a
		// revision has to name all daemons with older leases.
		if (
			registerMember(this.#roster, {sequence, report, notices}, receivedAtMs)
		) {
			this.#summariseSoon();
		}

		await this.#ensureFresh(receivedAtMs);
		const grant = grantLease(this.#lease, receivedAtMs);
		const {state} = this.#replication.configuration;
		if (!grant || state.revision < grant.digest.revision) {
			throw refusal(
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
			members: relaySince(this.#relay, known),
			...(this.#notices.length > 0 && {notices: this.#notices}),
		};
	}

	/**
	 * Renews an old confirmation and waits for it when the one in use is too old for a long lease or
	 * from before a change. Then waits until the replica has its revision.
	 */
	async #ensureFresh(receivedAtMs: number): Promise<void> {
		const {configurationLeaseMs} = this.#context.settings.timing;
		const sentAtMs =
			this.#lease.confirmation?.sentAtMs ?? Number.NEGATIVE_INFINITY;
		const ageMs = receivedAtMs - sentAtMs;
		if (
			ageMs > configurationLeaseMs * oldestUsedShare ||
			sentAtMs < this.#staleBeforeMs
		) {
			this.#isUrgent = true;
			await this.#gate.next({isUrgent: true});
		} else if (ageMs > this.#intervalMs) {
			void this.#confirmNow({isUrgent: false});
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

	/** Asks the leader to confirm the configuration, with the changes of the members since the last time. */
	async #confirm(): Promise<void> {
		const isUrgent = this.#isUrgent;
		this.#isUrgent = false;
		for (;;) {
			const sentAtMs = this.#elapsedMs;
			const {version} = this.#roster;
			const isFull = this.#summarisedVersion === undefined;
			const answer = await this.#askLeader(isUrgent);
			if (!answer.needsFullSummary) {
				this.#summarisedVersion = version;
				this.#takeAnswer(sentAtMs, answer);
				return;
			}

			this.#summarisedVersion = undefined;
			if (isFull) {
				throw refusal(
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
			summary: summariseRoster(this.#roster, this.#summarisedVersion),
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

	#takeAnswer(
		sentAtMs: number,
		answer: Extract<ConfirmAnswer, {needsFullSummary: false}>,
	): void {
		const {leaseMs, digest, members, notices} = answer;
		try {
			takeConfirmation(this.#lease, {sentAtMs, leaseMs, digest});
		} catch (error) {
			// Two hashes for one revision: the state of this daemon or of the leader is wrong.
			this.#context.fail(error);
			throw error;
		}

		this.#notices = notices;
		if (members && !updateRelay(this.#relay, members)) {
			this.#relay.view.epoch = '';
		}
	}

	/** Reports changes of the members to the leader shortly, without waiting for a heartbeat. */
	#summariseSoon(): void {
		this.#summaryTimer ??= setTimeout(() => {
			this.#summaryTimer = undefined;
			void this.#confirmNow();
		}, summaryDelayMs);
	}

	async #confirmNow({
		isUrgent = true,
	}: {isUrgent?: boolean} = {}): Promise<void> {
		this.#isUrgent ||= isUrgent;
		try {
			await this.#gate.next({isUrgent});
		} catch (error) {
			this.#context.retries.increment({
				step: 'confirm',
				reason: reasonOf(error),
			});
		}
	}

	/** Renews the confirmation, because the configuration or the members changed. */
	#refresh(notifyDaemons: boolean): void {
		this.#staleBeforeMs = this.#elapsedMs;
		void this.#confirmNow();
		if (notifyDaemons) {
			for (const daemonId of this.#roster.members.keys()) {
				void this.#notify(daemonId);
			}
		}
	}

	async #notify(daemonId: DaemonId): Promise<void> {
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
