import {setTimeout as sleep} from 'node:timers/promises';
import {
	type ChangeCommand,
	changesSince,
	configurationDigest,
	type ConfigurationResult,
	createConfirmationLedger,
	evaluatePropagation,
	expireRegistrarConfirmations,
	listResources,
	recordConfirmation,
	type Propagation,
	type ResourceKind,
} from '@marjoramcove/configuration';
import {
	MarjoramcoveError,
	NotLeaderError,
	RevisionConflictError,
	ValidationError,
	reasonOf,
} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	createMembershipState,
	createRegistrarTable,
	expireRegistrars,
	liveDaemons,
	membershipUpdateSince,
	type MembershipState,
	collectNotices,
	stepMembership,
	applySummary,
} from '@marjoramcove/membership';
import type {DaemonId} from '@marjoramcove/types';
import * as z from 'zod';
import type {DaemonContext} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';
import {configGroup, type ReplicationService} from './replication-service.ts';
import {
	type ConfirmAnswer,
	confirmSchema,
	memberTimeoutOf,
} from './heartbeat-contract.ts';
import {readLoads} from './read-loads.ts';
import {RoundBatcher} from './round-batcher.ts';
import type {UpstreamNotice} from './upstreams-service.ts';

const propagationPollMs = 25;
/** Minimum interval between quorum rounds without an urgent request. */
const roundIntervalMs = 100;
/** Multiple of the member timeout, so that daemons of a lost registrar have time to switch to another one. */
const lostRegistrarFactor = 1.5;

/** Outcome of a configuration change, as reported to the operator. */
export type ChangeOutcome = {
	revision: number;
	hash: string;
	repeated: boolean;
	inForce: boolean;
	daemons: Array<{daemonId: DaemonId; revision: number; state: string}>;
};

/** Runs on the configuration leader: confirms the configuration to the registrars and commits changes. */
export class ConfigurationLeaderService extends Service {
	readonly #context: DaemonContext;
	#ledger = createConfirmationLedger();
	readonly #quorumRounds = new RoundBatcher(
		async () => this.#replication.readBarrier(configGroup),
		roundIntervalMs,
	);

	#replication!: ReplicationService;
	#peers!: PeersService;
	#membership!: MembershipState;
	#term = -1;
	#leaderSinceMs = 0;
	#table = createRegistrarTable();
	/** Members and notices that were last announced to the registrars. */
	#announced = '';
	#announceTimer: NodeJS.Timeout | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'configuration-leader';
	}

	override async start(kernel: ServiceDirectory) {
		this.#replication = kernel.get<ReplicationService>('replication');
		this.#resetMembership();
		const peers = kernel.get<PeersService>('peers');
		this.#peers = peers;
		peers.handle('config.confirm', confirmSchema, async (input) =>
			this.#confirm(input),
		);
		peers.handle(
			'config.change',
			z.object({
				command: z.custom<ChangeCommand>(),
				waitMs: z.number(),
			}),
			async ({command, waitMs}) => this.#commitChange(command, waitMs),
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
			this.#tick();
		}, this.#context.settings.timing.heartbeatMs);
	}

	override async stop() {
		clearInterval(this.#timer);
		clearTimeout(this.#announceTimer);
		this.#quorumRounds.stop();
	}

	/** Resets the state that is not replicated when the term has changed. */
	#resetOnNewTerm(): void {
		const {term} = this.#replication.leadership(configGroup);
		if (term !== this.#term) {
			this.#term = term;
			this.#leaderSinceMs = performance.now();
			this.#ledger = createConfirmationLedger();
			this.#table = createRegistrarTable();
			this.#resetMembership();
		}
	}

	#tick(): void {
		const {timing, daemonId} = this.#context.settings;
		const nowMs = performance.now();
		expireRegistrars(
			this.#table,
			this.#membership,
			memberTimeoutOf(timing.heartbeatMs),
			nowMs,
		);
		stepMembership(this.#membership, {type: 'tick'}, nowMs);
		expireRegistrarConfirmations(
			this.#ledger,
			timing.configurationLeaseMs,
			nowMs,
		);
		if (this.#replication.leadership(configGroup).isLeader) {
			this.#announceChanges(daemonId);
		}
	}

	#resetMembership(): void {
		const {heartbeatMs} = this.#context.settings.timing;
		this.#membership = createMembershipState({
			epoch: `${this.#term}-${this.#context.incarnation}`,
			nowMs: performance.now(),
			settings: {
				memberTimeoutMs: lostRegistrarFactor * memberTimeoutOf(heartbeatMs),
			},
		});
	}

	/** Confirms the configuration to a registrar after a quorum round that started after its request. */
	async #confirm(
		request: z.output<typeof confirmSchema>,
	): Promise<ConfirmAnswer> {
		await this.#replication.ensureLeader(configGroup);
		this.#resetOnNewTerm();
		const term = this.#term;
		await this.#quorumRounds.next(request);
		if (
			this.#replication.leadership(configGroup).term !== term ||
			this.#term !== term
		) {
			throw new NotLeaderError(configGroup);
		}

		if (!this.#applySummary(request)) {
			return {needsFullSummary: true};
		}

		const isSettled =
			performance.now() - this.#leaderSinceMs >=
			this.#context.settings.timing.heartbeatMs;
		return {
			needsFullSummary: false,
			leaseMs: this.#context.settings.timing.configurationLeaseMs,
			digest: configurationDigest(this.#replication.configuration.state),
			...(isSettled && {
				members: membershipUpdateSince(this.#membership, request.known),
			}),
			notices: collectNotices(
				this.#table,
				this.#membership,
			) as unknown as UpstreamNotice[],
		};
	}

	/** Applies the member summary of a registrar; returns false when a full summary is needed. */
	#applySummary(request: z.output<typeof confirmSchema>): boolean {
		const nowMs = performance.now();
		const {registrarId, incarnation, confirmedRevision, summary} = request;
		if (!applySummary(this.#table, this.#membership, request, nowMs)) {
			return false;
		}

		const {members} = this.#table.mirrors.get(registrarId)!;
		recordConfirmation(
			this.#ledger,
			{
				key: `${registrarId} ${incarnation}`,
				confirmedRevision,
				held: [...members.values()]
					.map(({report}) => report)
					.filter(
						({daemonId}) => this.#table.holders.get(daemonId) === registrarId,
					),
				removed: summary.removed,
			},
			nowMs,
		);
		this.#announceChanges(registrarId);
		return true;
	}

	/** Asks the registrars to fetch changed members and notices, at most once per round interval. */
	#announceChanges(except: DaemonId): void {
		const notices = JSON.stringify(
			collectNotices(this.#table, this.#membership),
		);
		const announcement = `${this.#membership.epoch} ${this.#membership.version} ${notices}`;
		if (announcement === this.#announced) {
			return;
		}

		this.#announced = announcement;
		this.#announceTimer ??= setTimeout(() => {
			this.#announceTimer = undefined;
			this.#refreshRegistrars({notifyDaemons: false});
		}, roundIntervalMs);
	}

	async #commitChange(
		command: ChangeCommand,
		waitMs: number,
	): Promise<ChangeOutcome> {
		await this.#replication.ensureLeader(configGroup);
		this.#resetOnNewTerm();
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
				result.outcome === 'invalid'
					? result.message
					: 'The change had an unexpected result.',
				'Correct the resources and send the change with a new operation id.',
			);
		}

		this.#refreshRegistrars({notifyDaemons: true});
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
	 * Asks the registrars to confirm the configuration now and, after a commit, to request a heartbeat
	 * from their daemons. Changes are rare (1,200 a day at target size), and a lost notice only delays
	 * the change.
	 */
	#refreshRegistrars(input: {notifyDaemons: boolean}): void {
		for (const {daemonId, state} of this.#context.settings.cluster.peers) {
			if (state) {
				void this.#refresh(daemonId, input);
			}
		}
	}

	async #refresh(
		daemonId: DaemonId,
		input: {notifyDaemons: boolean},
	): Promise<void> {
		try {
			await this.#peers.call(daemonId, 'config.refresh', input, {
				timeoutMs: 1000,
				channel: 'control',
			});
		} catch (error) {
			this.#context.retries.increment({
				step: 'refresh',
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
				daemons: [...this.#ledger.daemons.values()],
				registrars: [...this.#ledger.registrars.values()],
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
				revision: this.#ledger.daemons.get(daemonId)?.appliedRevision ?? 0,
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
		this.#resetOnNewTerm();
		const {peers} = this.#context.settings.cluster;
		const loads = await readLoads(this.#peers, [...this.#table.mirrors.keys()]);
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
					load: loads.get(report.daemonId) ?? {},
				}),
			),
		};
	}
}
