import {setTimeout as sleep} from 'node:timers/promises';
import {
	type ChangeCommand,
	changesSince,
	configurationDigest,
	type ConfigurationResult,
	type DaemonConfirmation,
	evaluatePropagation,
	listResources,
	type Propagation,
	type ResourceKind,
} from '@marjoramcove/configuration';
import {
	MarjoramcoveError,
	NotLeaderError,
	RevisionConflictError,
	ValidationError,
} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	createMembershipState,
	liveDaemons,
	membersSince,
	type MembershipState,
	stepMembership,
} from '@marjoramcove/membership';
import type {DaemonId} from '@marjoramcove/types';
import {z} from 'zod';
import {type DaemonContext, reasonOf} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';
import {configGroup, type ReplicationService} from './replication-service.ts';
import {type HeartbeatAnswer, heartbeatSchema} from './heartbeat-contract.ts';
import type {UpstreamNotice} from './upstreams-service.ts';

const propagationPollMs = 25;

/** Outcome of a change for the operator. */
export type ChangeOutcome = {
	revision: number;
	hash: string;
	repeated: boolean;
	inForce: boolean;
	daemons: Array<{daemonId: DaemonId; revision: number; state: string}>;
};

/** The configuration leader: answers heartbeats, grants leases and takes changes. */
export class RegistrarService extends Service {
	readonly #context: DaemonContext;
	readonly #confirmations = new Map<DaemonId, DaemonConfirmation>();
	/** Upstreams in trouble by their dispatcher. */
	readonly #notices = new Map<
		DaemonId,
		{notices: UpstreamNotice[]; atMs: number}
	>();

	#replication!: ReplicationService;
	#peers!: PeersService;
	#membership!: MembershipState;
	#term = -1;
	#leaderSinceMs = 0;
	#round: {startedAtMs: number; done: Promise<void>} | undefined;
	#nextRound: Promise<void> | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'registrar';
	}

	override async start(kernel: ServiceDirectory) {
		this.#replication = kernel.get<ReplicationService>('replication');
		this.#resetMembership();
		const peers = kernel.get<PeersService>('peers');
		this.#peers = peers;
		peers.handle('config.heartbeat', heartbeatSchema, async (input) =>
			this.#takeHeartbeat(input),
		);
		peers.handle(
			'config.change',
			z.object({
				command: z.custom<ChangeCommand>(),
				waitMs: z.number(),
			}),
			async ({command, waitMs}) => this.#change(command, waitMs),
		);
		peers.handle(
			'config.resources',
			z.object({kind: z.string().optional()}),
			async ({kind}) => this.#readResources(kind as ResourceKind | undefined),
		);
		peers.handle('config.members', z.object({}), async () =>
			this.#describeMembers(),
		);
		this.#timer = setInterval(() => {
			this.#membership = stepMembership(
				this.#membership,
				{type: 'tick'},
				performance.now(),
			).state;
		}, this.#context.settings.timing.heartbeatMs);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	/** Starts with empty soft state when this replica begins to lead. */
	#noteTerm(): void {
		const {term} = this.#replication.leadership(configGroup);
		if (term !== this.#term) {
			this.#term = term;
			this.#leaderSinceMs = performance.now();
			this.#confirmations.clear();
			this.#resetMembership();
		}
	}

	#resetMembership(): void {
		const {heartbeatMs} = this.#context.settings.timing;
		this.#membership = createMembershipState({
			epoch: `${this.#term}-${this.#context.incarnation}`,
			nowMs: performance.now(),
			settings: {memberTimeoutMs: Math.max(1500, 4 * heartbeatMs)},
		});
	}

	async #takeHeartbeat({
		sequence,
		report,
		known,
		notices,
	}: z.output<typeof heartbeatSchema>): Promise<HeartbeatAnswer> {
		await this.#replication.ensureLeader(configGroup);
		this.#noteTerm();
		const term = this.#term;
		await this.#confirmLeadership();
		if (this.#replication.leadership(configGroup).term !== term) {
			throw new NotLeaderError(configGroup);
		}

		const nowMs = performance.now();
		this.#membership = stepMembership(
			this.#membership,
			{type: 'heartbeat', sequence, report},
			nowMs,
		).state;
		this.#noteUpstreams(report.daemonId, notices);
		const {state} = this.#replication.configuration;
		const digest = configurationDigest(state);
		this.#confirmations.set(report.daemonId, {
			daemonId: report.daemonId,
			appliedRevision: report.appliedRevision,
			leaseGrantedAtMs: nowMs,
		});
		return {
			leaseMs: this.#context.settings.timing.configurationLeaseMs,
			digest,
			...(report.appliedRevision < digest.revision && {
				update: changesSince(state, report.appliedRevision),
			}),
			members: membersSince(this.#membership, known),
			...this.#currentNotices(),
		};
	}

	#noteUpstreams(daemonId: DaemonId, notices: UpstreamNotice[]): void {
		if (notices.length === 0) {
			this.#notices.delete(daemonId);
		} else {
			this.#notices.set(daemonId, {notices, atMs: performance.now()});
		}
	}

	/** Notices of dispatchers that still send heartbeats. */
	#currentNotices(): {notices?: UpstreamNotice[]} {
		if (this.#notices.size === 0) {
			return {};
		}

		const oldestMs =
			performance.now() - this.#membership.settings.memberTimeoutMs;
		return {
			notices: [...this.#notices.values()]
				.filter(({atMs}) => atMs >= oldestMs)
				.flatMap(({notices}) => notices),
		};
	}

	/**
	 * Waits for a quorum round that began after this call. Heartbeats that arrive during a round share
	 * the next one, so the number of rounds does not grow with the number of daemons.
	 */
	async #confirmLeadership(): Promise<void> {
		if (!this.#round) {
			return this.#startRound();
		}

		this.#nextRound ??= (async () => {
			try {
				await this.#round?.done;
			} catch {
				// The next round decides for itself.
			}

			this.#nextRound = undefined;
			await this.#startRound();
		})();
		return this.#nextRound;
	}

	async #startRound(): Promise<void> {
		const done = this.#replication.readBarrier(configGroup);
		const round = {startedAtMs: performance.now(), done};
		this.#round = round;
		try {
			await done;
		} finally {
			if (this.#round === round) {
				this.#round = undefined;
			}
		}
	}

	async #change(
		command: ChangeCommand,
		waitMs: number,
	): Promise<ChangeOutcome> {
		await this.#replication.ensureLeader(configGroup);
		this.#noteTerm();
		const result = await this.#replication.propose<ConfigurationResult>(
			configGroup,
			{...command, type: 'change'},
		);
		if (result.outcome === 'conflict') {
			throw new RevisionConflictError(
				command.baseRevision,
				result.currentRevision,
				result.current,
			);
		}

		if (result.outcome !== 'applied') {
			throw new ValidationError(
				result.outcome === 'invalid' ? result.message : 'Unexpected result.',
				'Correct the resources and send the change with a new operation id.',
			);
		}

		this.#notifyDaemons();
		const propagation = await this.#waitUntilInForce(result.revision, waitMs);
		return {
			revision: result.revision,
			hash: result.hash,
			repeated: result.repeated,
			inForce: propagation.isInForce,
			daemons: this.#describePropagation(propagation),
		};
	}

	/**
	 * Asks all daemons for a heartbeat, so that a change arrives before the next regular one. Changes are
	 * rare (1,200 a day at target size); a lost notice only delays the change.
	 */
	#notifyDaemons(): void {
		for (const daemonId of this.#confirmations.keys()) {
			void this.#notify(daemonId);
		}
	}

	async #notify(daemonId: DaemonId): Promise<void> {
		try {
			await this.#peers.call(
				daemonId,
				'config.notice',
				{},
				{
					timeoutMs: 1000,
					channel: 'control',
				},
			);
		} catch (error) {
			this.#context.retries.increment({
				step: 'notice',
				reason: reasonOf(error),
			});
		}
	}

	async #waitUntilInForce(
		revision: number,
		waitMs: number,
	): Promise<Propagation> {
		const committedAtMs = performance.now();
		const term = this.#term;
		for (;;) {
			const nowMs = performance.now();
			const propagation = evaluatePropagation({
				daemons: [...this.#confirmations.values()],
				revision,
				leaseMs: this.#context.settings.timing.configurationLeaseMs,
				committedAtMs,
				leaderSinceMs: this.#leaderSinceMs,
				nowMs,
			});
			if (propagation.isInForce || nowMs - committedAtMs >= waitMs) {
				return propagation;
			}

			await sleep(propagationPollMs);
			if (this.#replication.leadership(configGroup).term !== term) {
				throw new MarjoramcoveError(
					`The change is committed as revision ${revision}, but the leader changed before it was in force.`,
					{
						reason: 'commit-unknown',
						verdict: 'ran',
						hint: 'Send the change again with the same operation id to wait for it.',
						data: {revision},
					},
				);
			}
		}
	}

	#describePropagation(propagation: Propagation): ChangeOutcome['daemons'] {
		const describe = (ids: DaemonId[], state: string) =>
			ids.map((daemonId) => ({
				daemonId,
				revision: this.#confirmations.get(daemonId)?.appliedRevision ?? 0,
				state,
			}));
		return [
			...describe(propagation.confirmed, 'confirmed'),
			...describe(propagation.expired, 'expired'),
			...describe(propagation.pending, 'pending'),
		];
	}

	async #readResources(kind?: ResourceKind) {
		await this.#replication.ensureLeader(configGroup);
		await this.#replication.readBarrier(configGroup);
		const {state} = this.#replication.configuration;
		return {
			...configurationDigest(state),
			resources: listResources(state, kind),
		};
	}

	async #describeMembers() {
		await this.#replication.ensureLeader(configGroup);
		this.#noteTerm();
		const {peers} = this.#context.settings.cluster;
		return {
			leaderId: this.#context.settings.daemonId,
			daemons: liveDaemons(this.#membership, performance.now()).map(
				(report) => ({
					daemonId: report.daemonId,
					incarnation: report.incarnation,
					zone: report.zone,
					httpAddress: report.address,
					peerAddress: report.peerAddress,
					phase: report.phase,
					revision: report.appliedRevision,
					roles: peers.find((peer) => peer.daemonId === report.daemonId)?.state
						? ['entry', 'state']
						: ['entry'],
					load: report.load ?? {},
				}),
			),
		};
	}
}
