import {
	MarjoramcoveError,
	NotLeaderError,
	RefusedError,
	ValidationError,
} from '@marjoramcove/errors';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import {changeReplicas} from './change-replicas.ts';
import {waitOn} from './clock.ts';
import {describeGroup} from './describe-group.ts';
import type {GroupPort} from './group-port.ts';
import {createPortBase, type HostDisk, openHostDisk} from './host-disk.ts';
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
import {LogTrimmer} from './trim-logs.ts';
import type {ProposalOutcome} from './waiters.ts';

/**
 * Runs the replicas of one disk: many groups over one write-ahead log.
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
	 * @throws DataCorruptionError when the log is damaged before its tail.
	 */
	static async open(options: ReplicaHostOptions): Promise<ReplicaHost> {
		const parts = await openHostDisk(options);
		const host = new ReplicaHost(options, parts);
		parts.setHandlers({
			onDiskFull(isFull) {
				host.#setStalled(isFull);
			},
			onFailure(error) {
				host.#fail(error);
			},
		});
		host.#startTicking();
		return host;
	}

	/** Identity of the disk. */
	readonly diskId: DiskId;
	readonly daemonId: DaemonId;
	readonly #options: ReplicaHostOptions;
	readonly #parts: HostDisk;
	readonly #groups = new Map<GroupId, ReplicaGroup>();
	readonly #trimmer: LogTrimmer;
	readonly #outbox: Outbox;
	readonly #listeners: LeadershipListeners;
	/** Disks of daemons that asked to join, the latest one per daemon. */
	readonly #announced = new Map<DaemonId, DiskId>();
	#cancelTick: (() => void) | undefined;
	#isFlushScheduled = false;
	#isProposing = false;
	#proposedAtMs = Number.NEGATIVE_INFINITY;
	#isStalled = false;
	#isStopped = false;
	#isPruning = false;

	private constructor(options: ReplicaHostOptions, parts: HostDisk) {
		this.#options = options;
		this.#parts = parts;
		this.diskId = parts.diskId;
		this.daemonId = options.daemonId;
		this.#trimmer = new LogTrimmer(this.#groups, options.logMemorySizeBytes);
		this.#outbox = new Outbox(parts.diskId, options.send);
		this.#listeners = new LeadershipListeners(parts.clock, (groupId) =>
			this.#isStopped ? undefined : this.leadership(groupId),
		);
	}

	/** Whether the disk takes writes and the host runs. */
	get isReady(): boolean {
		return !this.#isStalled && !this.#isStopped;
	}

	/**
	 * Adds a group and restores its state.
	 *
	 * @param initialVoters - who forms the group at its first start; empty for a replica that an
	 * operator adds later. Ignored once the group is formed.
	 */
	async addGroup(
		groupId: GroupId,
		machine: StateMachine,
		initialVoters: readonly InitialVoter[],
	): Promise<void> {
		if (this.#groups.has(groupId)) {
			throw new ValidationError(
				`Group ${groupId} exists.`,
				'Add each group once.',
			);
		}

		const {recovered, log} = this.#parts;
		const group = await ReplicaGroup.open(this.#createPort(groupId), {
			groupId,
			machine,
			initialVoters,
			log: recovered.get(groupId) ?? createRecoveredLog(),
			headSegment: log.firstSegment,
		});
		recovered.delete(groupId);
		this.#groups.set(groupId, group);
		group.tick();
	}

	/**
	 * Proposes a command and resolves with the result of the state machine after the commit.
	 *
	 * @throws NotLeaderError (not-run) when this replica does not lead.
	 * @throws RefusedError (not-run) when too much is uncommitted or the command is too large.
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

		return this.#leadingGroup(groupId).waiters.propose(command);
	}

	/**
	 * Resolves after a majority has confirmed, since this call, that this replica leads, and after
	 * everything committed before this call is applied.
	 *
	 * @throws NotLeaderError when that is not so.
	 */
	async readBarrier(groupId: GroupId): Promise<void> {
		await this.#leadingGroup(groupId).waiters.read();
	}

	/** Who leads the group, as far as this replica knows. */
	leadership(groupId: GroupId): Leadership {
		const {state, isLeader} = this.#group(groupId);
		return {isLeader, leaderId: state.leader?.daemonId, term: state.term};
	}

	/** Calls the listener after each change of the known leader; the result removes it. */
	onLeadershipChange(listener: LeadershipListener): () => void {
		return this.#listeners.add(listener);
	}

	/** Takes a batch that the host of another daemon sent. A damaged batch is reported and dropped. */
	receive(from: DaemonId, batch: Uint8Array): void {
		if (this.#isStopped || this.#isStalled) {
			return;
		}

		try {
			const {from: diskId, to, messages} = decodePeerBatch(batch);
			// A message for the disk that was lost must not reach the one that took its place.
			if (to !== '' && to !== this.diskId) {
				return;
			}

			for (const {groupId, message} of messages) {
				// Only a disk that does not belong to the group yet sends these.
				if (message.type === 'form-ask' || message.type === 'form-query') {
					this.#announced.set(from, diskId);
				}

				this.#groups.get(groupId)?.receive({daemonId: from, diskId}, message);
			}
		} catch (error) {
			if (!(error instanceof MarjoramcoveError)) {
				throw error;
			}

			this.#options.onEvent?.('message-rejected', {from, error: error.message});
		}
	}

	/** State of all groups. */
	status(): GroupStatus[] {
		const nowMs = this.#parts.clock.nowMs();
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
	 * It resolves when the change is recorded. A replacement then continues by itself, also after a
	 * change of leader: {@link GroupStatus.repair} shows its progress, and it is done when `repair` is
	 * undefined and the lost disk is not listed any more. A repeated change has no further effect.
	 *
	 * @throws RefusedError when the new disk is not known or another change lasts too long.
	 */
	async changeReplicas(groupId: GroupId, change: ReplicaChange): Promise<void> {
		await changeReplicas(
			() => this.#leadingGroup(groupId),
			change,
			this.#announced,
			this.#parts.clock,
		);
	}

	/**
	 * Gives all leaderships away. It resolves when this host leads no group, which takes until
	 * another voter of each group is live.
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

			await waitOn(this.#parts.clock, DEFAULT_RAFT_SETTINGS.heartbeatMs);
		}
	}

	/** Stops at once; waiting proposals are rejected. Closes the files after pending writes. */
	async stop(): Promise<void> {
		this.#halt();
		await this.#parts.log.close();
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

	#createPort(groupId: GroupId): GroupPort {
		return {
			...createPortBase(groupId, this.#options, this.#parts),
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
				this.#noteSnapshot(groupId);
			},
			fail: (error) => {
				this.#fail(error);
			},
		};
	}

	#startTicking() {
		const {heartbeatMs} = {...DEFAULT_RAFT_SETTINGS, ...this.#options.raft};
		const tick = () => {
			if (this.#isStopped) {
				return;
			}

			this.#cancelTick = this.#parts.clock.startTimer(heartbeatMs / 2, tick);
			for (const group of this.#groups.values()) {
				group.tick();
			}
		};

		this.#cancelTick = this.#parts.clock.startTimer(heartbeatMs / 2, tick);
	}

	#scheduleFlush() {
		if (!this.#isFlushScheduled && !this.#isStopped) {
			this.#isFlushScheduled = true;
			this.#parts.clock.defer(() => {
				this.#isFlushScheduled = false;
				if (!this.#isStopped) {
					this.#outbox.flush();
				}
			});
		}
	}

	#scheduleProposals() {
		if (this.#isProposing || this.#isStopped) {
			return;
		}

		this.#isProposing = true;
		const {clock} = this.#parts;
		const {proposalIntervalMs = 0} = this.#options;
		const waitMs = this.#proposedAtMs + proposalIntervalMs - clock.nowMs();
		const propose = () => {
			this.#isProposing = false;
			this.#propose();
		};

		if (waitMs > 0) {
			clock.startTimer(waitMs, propose);
		} else {
			clock.defer(propose);
		}
	}

	#propose() {
		if (this.#isStopped) {
			return;
		}

		this.#proposedAtMs = this.#parts.clock.nowMs();
		for (const group of this.#groups.values()) {
			group.waiters.flush();
		}

		this.#outbox.flush();
	}

	#noteSnapshot(groupId: GroupId) {
		const group = this.#groups.get(groupId);
		if (group?.snapshotMeta && !this.#isStopped) {
			group.step({type: 'snapshot-taken', index: group.snapshotMeta.index});
			void this.#prune();
		}
	}

	async #prune() {
		const {log, recovered} = this.#parts;
		// Records of a group that is not added yet are still needed.
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
	}

	#fail(error: unknown) {
		if (!this.#isStopped) {
			this.#halt();
			this.#options.onFatal?.(error);
		}
	}
}
