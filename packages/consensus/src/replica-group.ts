import type {
	HistoryStream,
	LogRecord,
	StoredSnapshot,
} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import {GroupFormation} from './group-formation.ts';
import {GroupLog} from './group-log.ts';
import type {GroupHost} from './group-host.ts';
import {
	actionRecords,
	formationRecord,
	hardStateRecord,
	resetRecord,
	type RecoveredLog,
} from './log-records.ts';
import {
	isVoter,
	type Membership,
	type ReplicaDescriptor,
} from './membership.ts';
import {isFormationMessage, type PeerMessage} from './peer-messages.ts';
import {createRaftState, currentMembership, isPristine} from './raft-state.ts';
import type {
	LogEntry,
	RaftAction,
	RaftEvent,
	RaftMessage,
	RaftState,
	SnapshotMeta,
} from './raft-types.ts';
import {recoverReplica} from './recover-replica.ts';
import type {InitialVoter} from './replica-options.ts';
import {SnapshotManager} from './snapshot-manager.ts';
import {SnapshotSource} from './snapshot-source.ts';
import {SnapshotFetch} from './snapshot-fetch.ts';
import type {StateMachine} from './state-machine.ts';
import {PendingRequests} from './pending-requests.ts';

/** Options of {@link ReplicaGroup.open}. */
export type GroupOptions = {
	groupId: GroupId;
	machine: StateMachine;
	initialVoters: readonly InitialVoter[];
	log: RecoveredLog;
	/** Lowest segment that may hold the latest hard state (term and vote) and formation. */
	metadataSegment: number;
};

/** One replica of a group: runs the protocol and executes its actions. */
export class ReplicaGroup {
	/** Restores the replica from its disk. */
	static async open(
		host: GroupHost,
		options: GroupOptions,
	): Promise<ReplicaGroup> {
		const snapshot = await host.snapshots.loadLatest(options.groupId);
		const history = await host.openHistory(snapshot?.meta.historyStart);
		await history.truncate(snapshot?.meta.historyBytes ?? 0);
		if (snapshot) {
			options.machine.restoreSnapshot(snapshot.bytes);
		}

		return new ReplicaGroup(host, options, history, snapshot);
	}

	readonly groupId: GroupId;
	readonly history: HistoryStream;
	readonly snapshotSource: SnapshotSource;
	/** Accepts proposals, membership changes and reads, and settles them. */
	readonly pendingRequests: PendingRequests;
	state: RaftState;
	readonly #host: GroupHost;
	readonly #machine: StateMachine;
	readonly #formation: GroupFormation;
	readonly #log: GroupLog;
	readonly #snapshotManager: SnapshotManager;
	#fetch: SnapshotFetch | undefined;
	#isStopped = false;
	#isDraining = false;

	private constructor(
		host: GroupHost,
		options: GroupOptions,
		history: HistoryStream,
		snapshot: StoredSnapshot<SnapshotMeta> | undefined,
	) {
		const {groupId, log} = options;
		this.groupId = groupId;
		this.history = history;
		this.#host = host;
		this.#machine = options.machine;
		this.pendingRequests = new PendingRequests({
			groupId,
			step: (event) => {
				this.step(event);
			},
			scheduleProposals: host.scheduleProposals,
		});
		this.#snapshotManager = new SnapshotManager(host, groupId, snapshot?.meta);
		this.#log = new GroupLog({
			host,
			segments: log.segments,
			metadataSegment: options.metadataSegment,
			onSynced: (event) => {
				this.step(event);
			},
		});
		this.snapshotSource = new SnapshotSource(host, groupId, history);
		const recovered = recoverReplica(
			groupId,
			host.self.diskId,
			log,
			snapshot?.meta,
		);
		this.state = createRaftState(
			recovered,
			host.settings,
			host.clock.nowMs(),
			host.random,
		);
		if (recovered.isLogDiscarded) {
			// Without this record, the next entry would leave a gap in the log on disk.
			void this.#write([
				resetRecord(groupId, recovered.baseIndex, recovered.baseTerm),
			]);
		}

		this.#formation = this.#createFormation(options);
	}

	get isLeader(): boolean {
		return this.state.role === 'leader';
	}

	get snapshotMeta(): SnapshotMeta | undefined {
		return this.#snapshotManager.latest;
	}

	/** Lowest segment of the shared log that holds entries needed for recovery. */
	get firstNeededSegment(): number {
		const snapshotIndex = this.#snapshotManager.latest?.index ?? 0;
		return this.#log.firstSegmentAfter(snapshotIndex);
	}

	/** Segment with the latest rewritten hard state (term and vote) and formation. */
	get metadataSegment(): number {
		return this.#log.metadataSegment;
	}

	/**
	 * Time until which a tick finds nothing to do, unless a message arrives: the end of the election timeout of a
	 * voter that follows a leader. `undefined` if each tick may find work.
	 */
	get quietUntilMs(): number | undefined {
		const {role, leader, selfId, electionDueMs} = this.state;
		const isQuiet =
			role === 'follower' &&
			leader !== undefined &&
			isVoter(currentMembership(this.state), selfId) &&
			this.#fetch === undefined;
		return isQuiet ? electionDueMs : undefined;
	}

	tick(): void {
		this.step({type: 'tick'});
		if (this.#isDraining && this.isLeader) {
			this.step({type: 'transfer-leadership'});
		}

		this.#formation.tick();
		this.snapshotSource.tick();
		this.#fetch?.tick();
	}

	receive(from: ReplicaDescriptor, message: PeerMessage): void {
		if (isFormationMessage(message)) {
			this.#formation.receive(from, message);
		} else if (
			message.type === 'fetch-history' ||
			message.type === 'fetch-snapshot'
		) {
			this.snapshotSource.answer(from, message);
		} else if (
			message.type === 'history-chunk' ||
			message.type === 'snapshot-chunk'
		) {
			this.#fetch?.receive(from, message);
		} else if (this.#formation.acceptsRaftMessages) {
			this.step({type: 'message', from, message});
		}
	}

	/** Runs one protocol step and executes its actions. */
	step(event: RaftEvent): void {
		if (this.#isStopped) {
			return;
		}

		try {
			const {state, actions} = this.#host.step(
				this.state,
				event,
				this.#host.clock.nowMs(),
				this.#host.random,
			);
			this.state = state;
			this.#executeAll(actions);
		} catch (error) {
			this.#host.fail(error);
		}
	}

	/** Rewrites the hard state and formation, so that older segments can be deleted. */
	async rewriteMetadata(): Promise<void> {
		const segment = await this.#write([
			hardStateRecord(this.groupId, this.state.term, this.state.votedFor),
			formationRecord(this.groupId, this.#formation.formation),
		]);
		this.#log.metadataSegment = segment ?? this.#log.metadataSegment;
	}

	/** Takes a snapshot, so that older segments of the shared log can be deleted. */
	takeSnapshot(): void {
		this.#snapshotManager.take(this.#machine, this.state, this.history);
	}

	/** Transfers the leadership and stops campaigning in elections. */
	drain(): void {
		this.#isDraining = true;
		this.step({type: 'set-candidacy', isAllowed: false});
		this.step({type: 'transfer-leadership'});
	}

	/** Rejects all pending requests and ignores further events. */
	stop(): void {
		this.#isStopped = true;
		this.pendingRequests.rejectAll();
		this.#log.stop();
	}

	#createFormation({groupId, initialVoters, log}: GroupOptions) {
		return new GroupFormation({
			host: this.#host,
			initialVoters,
			formation: log.formation,
			hasLeader: () => this.state.leader !== undefined,
			isPristine: () => isPristine(this.state),
			currentMembership: () => currentMembership(this.state),
			save: async (formation) => {
				void this.#write([formationRecord(groupId, formation)]);
				return this.#log.waitForWrites();
			},
			join: (membership) => {
				this.#setInitialMembership(membership);
			},
		});
	}

	#setInitialMembership(membership: Membership) {
		const [base] = this.state.memberships;
		if (base?.membership.voters.length === 0) {
			base.membership = membership;
		}
	}

	#executeAll(actions: RaftAction[]) {
		const records = actions.flatMap((action) =>
			actionRecords(this.groupId, action),
		);
		if (records.length > 0) {
			void this.#write(records);
		}

		for (const action of actions) {
			this.#execute(action);
		}
	}

	async #write(records: LogRecord[]) {
		return this.#log.write(records, this.state);
	}

	#execute(action: RaftAction) {
		switch (action.type) {
			case 'send': {
				this.#send(action);
				break;
			}

			case 'apply': {
				this.#apply(action.entries);
				break;
			}

			case 'proposed': {
				this.pendingRequests.markAppended(action.id, action.index, action.term);
				break;
			}

			case 'reply-read': {
				this.pendingRequests.settleRead(action.id);
				break;
			}

			case 'reject-proposal':
			case 'reject-read': {
				this.pendingRequests.reject(action, this.state.leader?.daemonId);
				break;
			}

			case 'step-down':
			case 'become-leader':
			case 'leader-known': {
				this.#handleLeadershipAction(action.type);
				break;
			}

			case 'offer-snapshot': {
				this.#snapshotManager.offer(
					action.to,
					this.#machine,
					this.state,
					this.history,
				);
				break;
			}

			case 'fetch-snapshot':
			case 'restore-snapshot': {
				this.#executeSnapshotAction(action);
				break;
			}

			// The records of these actions have been written already.
			case 'append-entries-to-disk':
			case 'reset-log-on-disk':
			case 'save-hard-state': {
				break;
			}
		}
	}

	#handleLeadershipAction(type: RaftAction['type']) {
		if (type === 'step-down') {
			this.pendingRequests.rejectAll();
		}

		this.#host.leadershipChanged();
	}

	#send(action: Extract<RaftAction, {type: 'send'}>) {
		const {to, message, isAfterSync} = action;
		if (isAfterSync) {
			this.#log.sendAfterWrites(to, message);
		} else {
			this.#host.send(to, message);
		}
	}

	#executeSnapshotAction(action: RaftAction) {
		if (action.type === 'fetch-snapshot') {
			this.#startFetch(action.from, action.meta);
		} else if (action.type === 'restore-snapshot') {
			this.#machine.restoreSnapshot(this.#fetch!.bytes);
			this.pendingRequests.rejectAll();
		}
	}

	#apply(entries: LogEntry[]) {
		let sizeBytes = 0;
		for (const {index, term, kind, command} of entries) {
			let result: unknown;
			if (kind === 'command') {
				const outcome = this.#machine.apply({index, command});
				result = outcome.result;
				for (const bytes of outcome.appended ?? []) {
					this.history.append(bytes);
				}
			}

			sizeBytes += command.length;
			this.pendingRequests.settleApplied(index, term, result);
		}

		if (this.#snapshotManager.isDue(this.state, sizeBytes)) {
			this.takeSnapshot();
		}

		this.#host.logGrown();
	}

	#startFetch(from: ReplicaDescriptor, meta: SnapshotMeta) {
		if (this.#fetch) {
			this.#fetch.handleOffer(from, meta);
			return;
		}

		this.#fetch = new SnapshotFetch({
			host: this.#host,
			groupId: this.groupId,
			history: this.history,
			from,
			meta,
			finish: (fetched) => {
				this.#finishFetch(fetched);
			},
		});
	}

	#finishFetch(meta: SnapshotMeta | undefined) {
		if (meta) {
			this.#snapshotManager.latest = meta;
			this.step({type: 'snapshot-installed', meta});
			this.#host.snapshotSaved();
		} else {
			this.step({type: 'fetch-abandoned'});
		}

		this.#fetch = undefined;
	}
}
