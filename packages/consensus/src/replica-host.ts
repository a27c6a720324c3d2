import {
	MarjoramcoveError,
	NotLeaderError,
	RefusedError,
	ValidationError,
} from '@marjoramcove/errors';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import {changeReplicas} from './change-replicas.ts';
import {sleep} from './clock.ts';
import {describeGroup} from './describe-group.ts';
import type {GroupHost} from './group-host.ts';
import {createGroupHostBase, type HostDisk, openHostDisk} from './host-disk.ts';
import {createRecoveredLog} from './log-records.ts';
import {
	type LeadershipListener,
	LeadershipListeners,
} from './leadership-listeners.ts';
import {Outbox} from './outbox.ts';
import {decodePeerBatch} from './peer-codec.ts';
import {pruneLog} from './prune-log.ts';
import {DEFAULT_RAFT_SETTINGS} from './raft-types.ts';
import {ReplicaGroup} from './replica-group.ts';
import type {
	GroupStatus,
	InitialVoter,
	Leadership,
	ReplicaChange,
	ReplicaHostOptions,
} from './replica-options.ts';
import type {StateMachine} from './state-machine.ts';
import {LogTrimmer} from './log-trimmer.ts';
import type {ProposalOutcome} from './pending-requests.ts';

/**
 * Hosts the replicas of one disk. All its groups share one write-ahead log.
 *
 * @example
 * ```ts
 * const host = await ReplicaHost.open({daemonId, folder: '/data', send});
 * await host.addGroup(groupId, new Counter(), [{daemonId}]);
 * const {result} = await host.propose(groupId, Buffer.from('add 1'));
 * await host.stop();
 * ```
 */
export class ReplicaHost {
	/**
	 * Opens the disk and reads its log.
	 *
	 * @throws DataCorruptionError when the log is corrupt before its tail.
	 */
	static async open(options: ReplicaHostOptions): Promise<ReplicaHost> {
		const disk = await openHostDisk(options);
		const host = new ReplicaHost(options, disk);
		disk.setHandlers({
			onDiskFull(isFull) {
				host.#setStalled(isFull);
			},
			onFailure(error) {
				host.#fail(error);
			},
		});
		host.#scheduleTick();
		return host;
	}

	/** Id of the disk. */
	readonly diskId: DiskId;
	readonly daemonId: DaemonId;
	readonly #options: ReplicaHostOptions;
	readonly #disk: HostDisk;
	readonly #groups = new Map<GroupId, ReplicaGroup>();
	readonly #trimmer: LogTrimmer;
	readonly #outbox: Outbox;
	readonly #listeners: LeadershipListeners;
	/** Latest disk that each daemon announced with a formation message. */
	readonly #announcedDisks = new Map<DaemonId, DiskId>();
	readonly #tickIntervalMs: number;
	readonly #electionTimeoutMinMs: number;
	#cancelTick: (() => void) | undefined;
	#tickAtMs = 0;
	#isFlushScheduled = false;
	#isProposalFlushScheduled = false;
	#lastFlushAtMs = Number.NEGATIVE_INFINITY;
	#isStalled = false;
	#isStopped = false;
	#isPruning = false;

	private constructor(options: ReplicaHostOptions, disk: HostDisk) {
		const {heartbeatMs, electionTimeoutMinMs} = {
			...DEFAULT_RAFT_SETTINGS,
			...options.raft,
		};
		this.#tickIntervalMs = heartbeatMs / 2;
		this.#electionTimeoutMinMs = electionTimeoutMinMs;
		this.#options = options;
		this.#disk = disk;
		this.diskId = disk.diskId;
		this.daemonId = options.daemonId;
		this.#trimmer = new LogTrimmer(this.#groups, options.logMemorySizeBytes);
		this.#outbox = new Outbox(disk.diskId, options.send);
		this.#listeners = new LeadershipListeners(disk.clock, (groupId) =>
			this.#isStopped ? undefined : this.leadership(groupId),
		);
	}

	/** Whether the host runs and its disk accepts writes. */
	get isReady(): boolean {
		return !this.#isStalled && !this.#isStopped;
	}

	/**
	 * Adds a group and restores its state.
	 *
	 * @param initialVoters - voters that form the group at its first start. Empty for a replica that an
	 * operator adds later. Ignored once the group is formed.
	 */
	async addGroup(
		groupId: GroupId,
		machine: StateMachine,
		initialVoters: readonly InitialVoter[],
	): Promise<void> {
		if (this.#groups.has(groupId)) {
			throw new ValidationError(
				`Group ${groupId} is already on this host.`,
				'Add each group once.',
			);
		}

		const {recovered, log} = this.#disk;
		const group = await ReplicaGroup.open(this.#createGroupHost(groupId), {
			groupId,
			machine,
			initialVoters,
			log: recovered.get(groupId) ?? createRecoveredLog(),
			metadataSegment: log.firstSegment,
		});
		recovered.delete(groupId);
		this.#groups.set(groupId, group);
		group.tick();
		this.#endQuietTime();
	}

	/**
	 * Proposes a command. Resolves with the result of the state machine after the commit.
	 *
	 * @throws NotLeaderError (not-run) when this replica does not lead.
	 * @throws RefusedError (not-run) when too many bytes are uncommitted or the command is too large.
	 * @throws CommitUnknownError (may-have-run) when the leadership ended before the commit.
	 */
	async propose(
		groupId: GroupId,
		command: Uint8Array,
	): Promise<ProposalOutcome> {
		const limit = this.#options.commandSizeBytes ?? 8 * 1024 * 1024;
		if (command.length > limit) {
			throw new RefusedError(
				`The command has ${command.length} bytes; the limit is ${limit}.`,
				{reason: 'command-too-large', hint: 'Send a smaller command.'},
			);
		}

		return this.#leadingGroup(groupId).pendingRequests.propose(command);
	}

	/**
	 * Linearizable read barrier: resolves when a majority has confirmed after this call that this replica
	 * leads, and all entries committed before this call are applied.
	 *
	 * @throws NotLeaderError when this replica does not lead or the majority does not confirm it.
	 */
	async readBarrier(groupId: GroupId): Promise<void> {
		await this.#leadingGroup(groupId).pendingRequests.read();
	}

	/** Leadership of the group, as far as this replica knows. */
	leadership(groupId: GroupId): Leadership {
		const {state, isLeader} = this.#group(groupId);
		return {isLeader, leaderId: state.leader?.daemonId, term: state.term};
	}

	/** Calls the listener after each change of the known leader. The returned function removes it. */
	onLeadershipChange(listener: LeadershipListener): () => void {
		return this.#listeners.add(listener);
	}

	/** Processes a batch from the host of another daemon. A malformed batch is reported and dropped. */
	receive(from: DaemonId, batch: Uint8Array): void {
		if (this.#isStopped || this.#isStalled) {
			return;
		}

		try {
			const {from: diskId, to, messages} = decodePeerBatch(batch);
			// A message to a lost disk must not reach the disk that replaced it.
			if (to !== '' && to !== this.diskId) {
				return;
			}

			for (const {groupId, message} of messages) {
				// Only a replica that is not a member, or that knows no leader, sends these.
				if (message.type === 'form-ask' || message.type === 'form-query') {
					this.#announcedDisks.set(from, diskId);
				}

				this.#groups.get(groupId)?.receive({daemonId: from, diskId}, message);
			}
		} catch (error) {
			if (!(error instanceof MarjoramcoveError)) {
				throw error;
			}

			this.#options.onEvent?.('message-rejected', {from, error: error.message});
		}

		this.#endQuietTime();
	}

	/** Status of all groups. */
	status(): GroupStatus[] {
		const nowMs = this.#disk.clock.nowMs();
		const groups = [...this.#groups.values()];
		return groups.map((group) => describeGroup(group, this.daemonId, nowMs));
	}

	/** Reads a range of the history stream of a group. */
	async readHistory(
		groupId: GroupId,
		offset: number,
		lengthBytes: number,
	): Promise<Uint8Array> {
		return this.#group(groupId).history.read(offset, lengthBytes);
	}

	/**
	 * Changes the replicas of a group that this host leads.
	 *
	 * Resolves when the change is committed. A replacement then continues on its own, also after a change
	 * of leader: {@link GroupStatus.repair} shows its progress, and it is complete when `repair` is
	 * undefined and the lost disk is no longer listed. Repeating a change has no further effect.
	 *
	 * @throws RefusedError when the new disk is unknown or another change takes too long.
	 */
	async changeReplicas(groupId: GroupId, change: ReplicaChange): Promise<void> {
		await changeReplicas(
			() => this.#leadingGroup(groupId),
			change,
			this.#announcedDisks,
			this.#disk.clock,
		);
	}

	/**
	 * Transfers all leaderships to other voters. Resolves when this host leads no group that has another
	 * voter, so it waits until another voter of each such group is live.
	 */
	async drain(): Promise<void> {
		for (;;) {
			let isLeading = false;
			for (const group of this.#groups.values()) {
				group.drain();
				const {voters} = group.state.memberships.at(-1)!.membership;
				isLeading ||= group.isLeader && voters.length > 1;
			}

			if (!isLeading || this.#isStopped) {
				return;
			}

			await sleep(this.#disk.clock, DEFAULT_RAFT_SETTINGS.heartbeatMs);
		}
	}

	/** Stops immediately and rejects pending proposals. Closes the files after pending writes. */
	async stop(): Promise<void> {
		this.#halt();
		await this.#disk.log.close();
		for (const group of this.#groups.values()) {
			await group.history.close();
		}
	}

	#halt() {
		this.#isStopped = true;
		this.#cancelTick?.();
		this.#outbox.clear();
		for (const group of this.#groups.values()) {
			group.stop();
		}
	}

	#group(groupId: GroupId) {
		const group = this.#groups.get(groupId);
		if (!group) {
			throw new RefusedError(`This host has no group ${groupId}.`, {
				reason: 'group-unknown',
				hint: `Known groups: ${[...this.#groups.keys()].join(', ')}.`,
			});
		}

		return group;
	}

	#leadingGroup(groupId: GroupId) {
		const group = this.#group(groupId);
		if (!group.isLeader || this.#isStopped || this.#isStalled) {
			throw new NotLeaderError(groupId, group.state.leader?.daemonId);
		}

		return group;
	}

	#createGroupHost(groupId: GroupId): GroupHost {
		return {
			...createGroupHostBase(groupId, this.#options, this.#disk),
			send: (to, message) => {
				this.#outbox.add(to, groupId, message);
				this.#scheduleFlush();
			},
			scheduleProposals: () => {
				this.#scheduleProposals();
			},
			logGrown: this.#trimmer.schedule,
			leadershipChanged: () => {
				this.#listeners.notify(groupId);
			},
			snapshotSaved: () => {
				this.#handleSnapshotSaved(groupId);
			},
			fail: (error) => {
				this.#fail(error);
			},
		};
	}

	/**
	 * Schedules the next tick. A host that only follows is woken for the end of an election timeout and not for
	 * each tick; 25 ticks a second were a quarter of the wake-ups of an idle control daemon. A message of a leader
	 * may draw a shorter timeout, but none that ends within the shortest one from now.
	 */
	#scheduleTick() {
		const {clock} = this.#disk;
		const nowMs = clock.nowMs();
		let tickAtMs = nowMs + this.#electionTimeoutMinMs;
		for (const {quietUntilMs = 0} of this.#groups.values()) {
			tickAtMs = Math.min(tickAtMs, quietUntilMs);
		}

		// A group that is not quiet, or whose timeout is about to end, is looked at in each interval.
		tickAtMs = Math.max(tickAtMs, nowMs + this.#tickIntervalMs);
		this.#cancelTick?.();
		this.#tickAtMs = tickAtMs;
		this.#cancelTick = clock.startTimer(tickAtMs - nowMs, () => {
			this.#tick();
		});
	}

	#tick() {
		if (this.#isStopped) {
			return;
		}

		this.#cancelTick = undefined;
		try {
			for (const group of this.#groups.values()) {
				group.tick();
			}
		} finally {
			this.#scheduleTick();
		}
	}

	/** Returns to short intervals as soon as a group is not quiet any more. */
	#endQuietTime() {
		if (
			!this.#isStopped &&
			this.#tickAtMs - this.#disk.clock.nowMs() > this.#tickIntervalMs &&
			[...this.#groups.values()].some(
				({quietUntilMs}) => quietUntilMs === undefined,
			)
		) {
			this.#scheduleTick();
		}
	}

	#scheduleFlush() {
		if (!this.#isFlushScheduled && !this.#isStopped) {
			this.#isFlushScheduled = true;
			this.#disk.clock.defer(() => {
				this.#isFlushScheduled = false;
				if (!this.#isStopped) {
					this.#outbox.flush();
				}
			});
		}
	}

	#scheduleProposals() {
		if (this.#isProposalFlushScheduled || this.#isStopped) {
			return;
		}

		this.#isProposalFlushScheduled = true;
		const {clock} = this.#disk;
		const {proposalIntervalMs = 0} = this.#options;
		const waitMs = this.#lastFlushAtMs + proposalIntervalMs - clock.nowMs();
		const propose = () => {
			this.#isProposalFlushScheduled = false;
			this.#flushProposals();
		};

		if (waitMs > 0) {
			clock.startTimer(waitMs, propose);
		} else {
			clock.defer(propose);
		}
	}

	#flushProposals() {
		if (this.#isStopped) {
			return;
		}

		this.#lastFlushAtMs = this.#disk.clock.nowMs();
		for (const group of this.#groups.values()) {
			group.pendingRequests.flush();
		}

		this.#outbox.flush();
	}

	#handleSnapshotSaved(groupId: GroupId) {
		const group = this.#groups.get(groupId);
		if (group?.snapshotMeta && !this.#isStopped) {
			group.step({type: 'snapshot-taken', index: group.snapshotMeta.index});
			void this.#prune();
		}
	}

	async #prune() {
		const {log, recovered} = this.#disk;
		// Records of groups that have not been added yet are still needed.
		if (this.#isPruning || recovered.size > 0) {
			return;
		}

		this.#isPruning = true;
		try {
			await pruneLog(log, [...this.#groups.values()]);
		} catch (error) {
			this.#fail(error);
		} finally {
			this.#isPruning = false;
		}
	}

	#setStalled(isStalled: boolean) {
		this.#isStalled = isStalled;
		this.#options.onEvent?.(isStalled ? 'disk-full' : 'disk-usable', {});
		for (const group of this.#groups.values()) {
			group.step({type: 'storage-stalled', isStalled});
		}

		this.#endQuietTime();
	}

	#fail(error: unknown) {
		if (!this.#isStopped) {
			this.#halt();
			this.#options.onFatal?.(error);
		}
	}
}
