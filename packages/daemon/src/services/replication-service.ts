import {setTimeout as sleep} from 'node:timers/promises';
import type {ConfigurationCommand} from '@marjoramcove/configuration';
import {
	type Leadership,
	type ReplicaChange,
	ReplicaHost,
} from '@marjoramcove/consensus';
import {NotLeaderError, messageOf, reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {ProgramCommand} from '@marjoramcove/programs';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import * as z from 'zod';
import type {DaemonContext} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';
import {
	ConfigurationMachine,
	encodeCommand,
	type ProgramsListener,
	ProgramsMachine,
} from './state-machines.ts';

/** Reasons for which a replacement is refused until the new disk has announced itself. */
const unannouncedDiskReasons = new Set(['disk-unknown', 'nothing-to-replace']);

export const configGroup = asId<GroupId>('config');

/** Returns the id of the group that replicates a shard. */
export const shardGroup = (shard: number): GroupId =>
	asId<GroupId>(`shard-${shard}`);

const announceTimeoutMs = 15_000;

type AppliedListener = (
	shard: number,
	...applied: Parameters<ProgramsListener['onApplied']>
) => void;

/** Interval at which the history gauges are updated. */
const metricsIntervalMs = 5000;

/** Runs the replicas on this daemon's disk; without the role `state` it has no disk, no state and never leads. */
export class ReplicationService extends Service {
	readonly configuration = new ConfigurationMachine();
	readonly shards: ProgramsMachine[] = [];
	readonly #context: DaemonContext;
	readonly #appliedListeners = new Set<AppliedListener>();
	readonly #restoredListeners = new Set<(shard: number) => void>();
	readonly #readyTerms = new Map<
		GroupId,
		{term: number; ready: Promise<void>}
	>();

	#host: ReplicaHost | undefined;
	#metricsTimer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'replication';
	}

	/** Whether the disk accepts writes; true without a disk. */
	get isReady(): boolean {
		return this.#host?.isReady ?? true;
	}

	get hasDisk(): boolean {
		return this.#host !== undefined;
	}

	override async start(kernel: ServiceDirectory) {
		const {settings} = this.#context;
		const peers = kernel.get<PeersService>('peers');
		this.#serve(peers);
		if (!settings.roles.includes('state')) {
			return;
		}

		const {timing, limits} = settings;
		this.#host = await ReplicaHost.open({
			daemonId: settings.daemonId,
			folder: settings.dataFolder!,
			send: (to, batch) => {
				void this.#sendBatch(peers, to, batch);
			},
			raft: {
				heartbeatMs: timing.raftHeartbeatMs,
				electionTimeoutMinMs: timing.electionTimeoutMinMs,
				electionTimeoutMaxMs: timing.electionTimeoutMaxMs,
			},
			snapshotEveryEntries: limits.snapshotEntries,
			logMemorySizeBytes: limits.logMemorySizeBytes,
			onFatal: (error) => {
				this.#context.fail(error);
			},
			onEvent: (event, fields) => {
				this.#context.logger.info({event, ...fields});
			},
		});
		await this.#addGroups(this.#host);
		this.#metricsTimer = setInterval(() => {
			this.#publishMetrics();
		}, metricsIntervalMs).unref();
	}

	override async stop() {
		clearInterval(this.#metricsTimer);
		await this.#host?.stop();
	}

	/** Transfers the leadership of all groups to other replicas; resolves when this daemon leads none. */
	async transferLeaderships(): Promise<void> {
		await this.#host?.drain();
	}

	/** Whether a group has open calls, as far as this replica has applied its log. */
	hasOpenCalls(groupId: GroupId): boolean {
		return this.shards.some(
			({state}, shard) =>
				shardGroup(shard) === groupId && state.programs.openCalls.size > 0,
		);
	}

	onApplied(listener: AppliedListener): void {
		this.#appliedListeners.add(listener);
	}

	/** Calls the listener after the state of a shard was replaced by a snapshot. */
	onRestored(listener: (shard: number) => void): void {
		this.#restoredListeners.add(listener);
	}

	onLeadershipChange(
		listener: (groupId: GroupId, leadership: Leadership) => void,
	): void {
		this.#host?.onLeadershipChange(listener);
	}

	leadership(groupId: GroupId): Leadership {
		return (
			this.#host?.leadership(groupId) ?? {
				isLeader: false,
				leaderId: undefined,
				term: 0,
			}
		);
	}

	/**
	 * Ensures that this replica leads and, once per term, that it has applied all entries that earlier
	 * leaders committed.
	 *
	 * @throws NotLeaderError when this replica does not lead.
	 */
	async ensureLeader(groupId: GroupId): Promise<void> {
		const {isLeader, leaderId, term} = this.leadership(groupId);
		if (!isLeader) {
			throw new NotLeaderError(groupId, leaderId);
		}

		let entry = this.#readyTerms.get(groupId);
		if (entry?.term !== term) {
			entry = {term, ready: this.#host!.readBarrier(groupId)};
			this.#readyTerms.set(groupId, entry);
		}

		try {
			await entry.ready;
		} catch (error) {
			this.#readyTerms.delete(groupId);
			throw error;
		}

		const after = this.leadership(groupId);
		if (!after.isLeader || after.term !== term) {
			throw new NotLeaderError(groupId, after.leaderId);
		}
	}

	/** Confirms the leadership by a quorum round that starts after this call. */
	async readBarrier(groupId: GroupId): Promise<void> {
		if (!this.#host) {
			throw new NotLeaderError(groupId);
		}

		await this.#host.readBarrier(groupId);
	}

	/** Proposes a command and resolves with its result once it is committed and applied. */
	async propose<Result>(
		groupId: GroupId,
		command: ProgramCommand | ConfigurationCommand,
	): Promise<Result> {
		if (!this.#host) {
			throw new NotLeaderError(groupId);
		}

		const startedMs = performance.now();
		const {result} = await this.#host.propose(groupId, encodeCommand(command));
		this.#context.steps.record(performance.now() - startedMs, {
			step: `commit-${command.type}`,
		});
		return result as Result;
	}

	async readHistory(
		groupId: GroupId,
		offset: number,
		lengthBytes: number,
	): Promise<string> {
		const bytes = await this.#host!.readHistory(groupId, offset, lengthBytes);
		return Buffer.from(bytes).toString('utf8');
	}

	status() {
		return this.#host?.status() ?? [];
	}

	async changeReplicas(groupId: GroupId, change: ReplicaChange): Promise<void> {
		if (!this.#host) {
			throw new NotLeaderError(groupId);
		}

		await this.#host.changeReplicas(groupId, change);
	}

	#publishMetrics(): void {
		const held = this.#context.metrics.gauge(
			'marjoramcove_history_held_bytes',
			'Bytes of the histories on the disk by group.',
		);
		const reclaimed = this.#context.metrics.gauge(
			'marjoramcove_history_reclaimed_bytes',
			'Bytes of histories of ended programs that were deleted since the start, by group.',
		);
		for (const status of this.status()) {
			const {groupId, historyBytes, historyStartBytes} = status;
			held.set(historyBytes - historyStartBytes, {group: groupId});
			reclaimed.set(status.historyReclaimedBytes, {group: groupId});
		}
	}

	#serve(peers: PeersService): void {
		// One-way messages suffice: the replication protocol has its own responses and resends lost messages.
		peers.handlePost(
			'replication.deliver',
			z.object({from: z.string(), batch: z.instanceof(Uint8Array)}),
			({from, batch}) => {
				this.#host?.receive(asId<DaemonId>(from), batch);
			},
		);
		peers.handle('replication.status', z.object({}), async () => this.status());
		peers.handle(
			'replication.replace',
			z.object({
				groupId: z.string(),
				lostDaemonId: z.string(),
				newDaemonId: z.string(),
			}),
			async ({groupId, lostDaemonId, newDaemonId}) => {
				await this.#replaceReplica(asId<GroupId>(groupId), {
					type: 'replace',
					lostDaemonId: asId<DaemonId>(lostDaemonId),
					newDaemonId: asId<DaemonId>(newDaemonId),
				});
				return {groupId};
			},
		);
	}

	/** Replaces a replica, with retries while the new disk is unknown: it announces itself within seconds of its start. */
	async #replaceReplica(
		groupId: GroupId,
		change: ReplicaChange,
	): Promise<void> {
		const deadlineMs = performance.now() + announceTimeoutMs;
		for (;;) {
			try {
				await this.changeReplicas(groupId, change);
				return;
			} catch (error) {
				if (
					!unannouncedDiskReasons.has(reasonOf(error)) ||
					performance.now() >= deadlineMs
				) {
					throw error;
				}
			}

			await sleep(200);
		}
	}

	async #sendBatch(peers: PeersService, to: DaemonId, batch: Uint8Array) {
		try {
			await peers.post(
				to,
				'replication.deliver',
				{from: this.#context.settings.daemonId, batch},
				'control',
			);
		} catch (error) {
			this.#context.logger.trace({
				event: 'replication-message-lost',
				peer: to,
				error: messageOf(error),
			});
		}
	}

	async #addGroups(host: ReplicaHost): Promise<void> {
		const {cluster, limits} = this.#context.settings;
		const voters = cluster.peers
			.filter((peer) => peer.state)
			.map(({daemonId}) => ({daemonId}));
		for (let shard = 0; shard < cluster.shardCount; shard++) {
			const machine = new ProgramsMachine(
				shard,
				{historySizeBytes: limits.historySizeBytes},
				{
					onApplied: (...applied) => {
						for (const listener of this.#appliedListeners) {
							listener(shard, ...applied);
						}
					},
					onRestored: () => {
						for (const listener of this.#restoredListeners) {
							listener(shard);
						}
					},
				},
			);
			this.shards.push(machine);
			await host.addGroup(shardGroup(shard), machine, voters);
		}

		await host.addGroup(configGroup, this.configuration, voters);
	}
}
