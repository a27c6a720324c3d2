import type {
	HistoryStream,
	LogRecord,
	StoredSnapshot,
} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import {GroupFormation} from './group-formation.ts';
import type {GroupPort} from './group-port.ts';
import {
	entryIndex,
	actionRecords,
	formationRecord,
	hardStateRecord,
	noteSegment,
	resetRecord,
	type EntrySegment,
	type RecoveredLog,
} from './log-records.ts';
import {
	findReplica,
	type Membership,
	type MembershipChange,
	type ReplicaDescriptor,
} from './membership.ts';
import {isFormationMessage, type PeerMessage} from './peer-messages.ts';
import {createRaftState, currentMembership} from './raft-state.ts';
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
import {SnapshotKeeper} from './snapshot-keeper.ts';
import {SnapshotSource} from './snapshot-source.ts';
import {SnapshotFetch} from './snapshot-fetch.ts';
import type {StateMachine} from './state-machine.ts';
import {type ProposalOutcome, Waiters} from './waiters.ts';

type Deferred = {
	afterWrite: number;
	to: ReplicaDescriptor;
	message: RaftMessage;
};

/** What a group is opened with. */
export type GroupOpening = {
	groupId: GroupId;
	machine: StateMachine;
	initialVoters: readonly InitialVoter[];
	log: RecoveredLog;
	/** Segment that holds the latest vote and formation. */
	headSegment: number;
};

/** One replica: runs the protocol and carries out its actions. */
export class ReplicaGroup {
	/** Restores the replica from the disk. */
	static async open(
		port: GroupPort,
		opening: GroupOpening,
	): Promise<ReplicaGroup> {
		const snapshot = await port.snapshots.loadLatest(opening.groupId);
		const history = await port.openHistory();
		await history.truncate(snapshot?.meta.historyBytes ?? 0);
		if (snapshot) {
			opening.machine.restoreSnapshot(snapshot.bytes);
		}

		return new ReplicaGroup(port, opening, history, snapshot);
	}

	readonly groupId: GroupId;
	readonly history: HistoryStream;
	readonly source: SnapshotSource;
	/** Where the entries are in the shared log. */
	readonly segments: EntrySegment[];
	headSegment: number;
	state: RaftState;
	readonly #port: GroupPort;
	readonly #machine: StateMachine;
	readonly #formation: GroupFormation;
	readonly #keeper: SnapshotKeeper;
	readonly #waiters: Waiters;
	#fetch: SnapshotFetch | undefined;
	#queue: Array<{id: number; command: Uint8Array}> = [];
	#lastWrite = 0;
	#lastSynced = 0;
	#deferred: Deferred[] = [];
	#isStopped = false;
	#isDraining = false;

	private constructor(
		port: GroupPort,
		opening: GroupOpening,
		history: HistoryStream,
		snapshot: StoredSnapshot<SnapshotMeta> | undefined,
	) {
		const {groupId, log} = opening;
		this.groupId = groupId;
		this.history = history;
		this.segments = log.segments;
		this.headSegment = opening.headSegment;
		this.#port = port;
		this.#machine = opening.machine;
		this.#waiters = new Waiters(groupId);
		this.#keeper = new SnapshotKeeper(port, groupId, snapshot?.meta);
		this.source = new SnapshotSource(port, groupId, history);
		const recovered = recoverReplica(
			groupId,
			port.self.diskId,
			log,
			snapshot?.meta,
		);
		this.state = createRaftState(
			recovered,
			port.settings,
			port.clock.nowMs(),
			port.random,
		);
		if (recovered.isLogDiscarded) {
			// Without this record the next entry would leave a gap in the log on the disk.
			void this.#write([
				resetRecord(groupId, recovered.baseIndex, recovered.baseTerm),
			]);
		}

		this.#formation = new GroupFormation({
			port,
			initialVoters: opening.initialVoters,
			formation: log.formation,
			currentMembership: () => currentMembership(this.state),
			save: async (formation) => {
				void this.#write([formationRecord(groupId, formation)]);
				return this.afterWrites();
			},
			join: (membership) => {
				this.#join(membership);
			},
		});
	}

	get isLeader(): boolean {
		return this.state.role === 'leader';
	}

	get snapshotMeta(): SnapshotMeta | undefined {
		return this.#keeper.latest;
	}

	/** Lowest segment of the shared log with entries that a restart would need. */
	get firstNeededSegment(): number {
		const snapshotIndex = this.#keeper.latest?.index ?? 0;
		const needed = this.segments.find(
			(range) => range.lastIndex > snapshotIndex,
		);
		return needed?.segment ?? Number.POSITIVE_INFINITY;
	}

	/** Whether the replica belongs to the group, as far as it knows. */
	get isMember(): boolean {
		return (
			findReplica(currentMembership(this.state), this.#port.self.diskId) !==
			undefined
		);
	}

	/** Queues a command; {@link ReplicaGroup.flush} hands the queue to the protocol at once. */
	async propose(command: Uint8Array): Promise<ProposalOutcome> {
		return new Promise((resolve, reject) => {
			const id = this.#waiters.addProposal({resolve, reject});
			this.#queue.push({id, command});
			this.#port.scheduleFlush();
		});
	}

	async changeMembership(change: MembershipChange): Promise<ProposalOutcome> {
		return new Promise((resolve, reject) => {
			const id = this.#waiters.addProposal({resolve, reject});
			this.step({type: 'change-membership', id, change});
		});
	}

	async readBarrier(): Promise<void> {
		return new Promise((resolve, reject) => {
			const id = this.#waiters.addRead({resolve, reject});
			this.step({type: 'read', id});
		});
	}

	flush(): void {
		if (this.#queue.length > 0) {
			const proposals = this.#queue;
			this.#queue = [];
			this.step({type: 'propose', proposals});
		}
	}

	tick(): void {
		this.step({type: 'tick'});
		if (this.#isDraining && this.isLeader) {
			this.step({type: 'transfer-leadership'});
		}

		this.#formation.tick();
		this.source.tick();
		this.#fetch?.tick();
	}

	receive(from: ReplicaDescriptor, message: PeerMessage): void {
		if (isFormationMessage(message)) {
			this.#formation.receive(from, message);
		} else if (
			message.type === 'fetch-history' ||
			message.type === 'fetch-snapshot'
		) {
			this.source.answer(from, message);
		} else if (
			message.type === 'history-chunk' ||
			message.type === 'snapshot-chunk'
		) {
			this.#fetch?.receive(from, message);
		} else {
			this.step({type: 'message', from, message});
		}
	}

	/** Runs one step of the protocol and carries out its actions. */
	step(event: RaftEvent): void {
		if (this.#isStopped) {
			return;
		}

		try {
			const {state, actions} = this.#port.step(
				this.state,
				event,
				this.#port.clock.nowMs(),
				this.#port.random,
			);
			this.state = state;
			this.#perform(actions);
		} catch (error) {
			this.#port.fail(error);
		}
	}

	/** Writes vote and formation again, so that older segments can be deleted. */
	async rewriteHead(): Promise<void> {
		const segment = await this.#write([
			hardStateRecord(this.groupId, this.state.term, this.state.votedFor),
			formationRecord(this.groupId, this.#formation.formation),
		]);
		this.headSegment = segment ?? this.headSegment;
	}

	/** Takes a snapshot now, to free segments of the shared log. */
	takeSnapshot(): void {
		this.#keeper.take(this.#machine, this.state, this.history);
	}

	/** Gives the leadership away and does not stand for election any more. */
	drain(): void {
		this.#isDraining = true;
		this.step({type: 'set-candidacy', isAllowed: false});
		this.step({type: 'transfer-leadership'});
	}

	/** Resolves when everything written so far is durable. */
	async afterWrites(): Promise<void> {
		try {
			await this.#port.append([]);
		} catch (error) {
			this.#port.fail(error);
			// The host stops; what waits for the disk must not go on.
			await new Promise<never>(() => {
				// Never settled.
			});
		}
	}

	/** Ends all waits; nothing happens afterwards. */
	stop(): void {
		this.#isStopped = true;
		this.#waiters.rejectAll();
		this.#deferred = [];
	}

	#join(membership: Membership) {
		const [first] = this.state.memberships;
		if (first?.membership.voters.length === 0) {
			first.membership = membership;
		}
	}

	#perform(actions: RaftAction[]) {
		const records = actions.flatMap((action) =>
			actionRecords(this.groupId, action),
		);
		if (records.length > 0) {
			void this.#write(records);
		}

		for (const action of actions) {
			this.#performOne(action);
		}
	}

	async #write(records: LogRecord[]) {
		this.#lastWrite += 1;
		const write = this.#lastWrite;
		const {log, term, votedFor} = this.state;
		const {lastIndex: index, lastTerm: entryTerm} = log;
		try {
			const segment = await this.#port.append(records);
			this.#noteRecords(records, segment);
			this.#lastSynced = write;
			this.#releaseDeferred();
			this.step({type: 'synced', index, entryTerm, term, votedFor});
			return segment;
		} catch (error) {
			this.#port.fail(error);
		}
	}

	#noteRecords(records: LogRecord[], segment: number) {
		for (const record of records) {
			const index = entryIndex(record);
			if (index !== undefined) {
				noteSegment(this.segments, segment, index);
			}
		}
	}

	#releaseDeferred() {
		const count = this.#deferred.findIndex(
			(message) => message.afterWrite > this.#lastSynced,
		);
		const released = this.#deferred.splice(
			0,
			count === -1 ? this.#deferred.length : count,
		);
		for (const {to, message} of released) {
			this.#port.send(to, message);
		}
	}

	#performOne(action: RaftAction) {
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
				this.#waiters.noteAppended(action.id, action.index, action.term);
				break;
			}

			case 'reply-read': {
				this.#waiters.settleRead(action.id);
				break;
			}

			case 'reject-proposal':
			case 'reject-read': {
				this.#waiters.refuse(action, this.state.leader?.daemonId);
				break;
			}

			case 'step-down':
			case 'become-leader':
			case 'leader-known': {
				this.#noteLeadership(action.type);
				break;
			}

			case 'offer-snapshot':
			case 'fetch-snapshot':
			case 'restore-snapshot': {
				this.#performSnapshotAction(action);
				break;
			}

			// The records of these have been written already.
			case 'append-entries-to-disk':
			case 'reset-log-on-disk':
			case 'save-hard-state': {
				break;
			}
		}
	}

	#noteLeadership(type: RaftAction['type']) {
		if (type === 'step-down') {
			this.#waiters.rejectAll();
		}

		this.#port.leadershipChanged();
	}

	#send(action: Extract<RaftAction, {type: 'send'}>) {
		const {to, message, isAfterSync} = action;
		if (isAfterSync && this.#lastWrite > this.#lastSynced) {
			this.#deferred.push({afterWrite: this.#lastWrite, to, message});
		} else {
			this.#port.send(to, message);
		}
	}

	#performSnapshotAction(action: RaftAction) {
		if (action.type === 'offer-snapshot' && this.#keeper.latest) {
			this.#port.send(action.to, {
				type: 'snapshot-offer',
				term: this.state.term,
				meta: this.#keeper.latest,
			});
		} else if (action.type === 'fetch-snapshot') {
			this.#startFetch(action.from, action.meta);
		} else if (action.type === 'restore-snapshot') {
			this.#machine.restoreSnapshot(this.#fetch!.bytes);
			this.#waiters.rejectAll();
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
			this.#waiters.settleApplied(index, term, result);
		}

		if (this.#keeper.isDue(this.state, sizeBytes)) {
			this.takeSnapshot();
		}
	}

	#startFetch(from: ReplicaDescriptor, meta: SnapshotMeta) {
		if (this.#fetch) {
			this.#fetch.noteOffer(from, meta);
			return;
		}

		this.#fetch = new SnapshotFetch({
			port: this.#port,
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
			this.#keeper.latest = meta;
			this.step({type: 'snapshot-installed', meta});
			this.#port.snapshotSaved();
		} else {
			this.step({type: 'fetch-abandoned'});
		}

		this.#fetch = undefined;
	}
}
