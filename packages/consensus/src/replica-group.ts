import type {
	HistoryStream,
	LogRecord,
	StoredSnapshot,
} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import {GroupFormation} from './group-formation.ts';
import {GroupLog} from './group-log.ts';
import type {GroupPort} from './group-port.ts';
import {
	actionRecords,
	formationRecord,
	hardStateRecord,
	resetRecord,
	type RecoveredLog,
} from './log-records.ts';
import {type Membership, type ReplicaDescriptor} from './membership.ts';
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
import {SnapshotKeeper} from './snapshot-keeper.ts';
import {SnapshotSource} from './snapshot-source.ts';
import {SnapshotFetch} from './snapshot-fetch.ts';
import type {StateMachine} from './state-machine.ts';
import {Waiters} from './waiters.ts';

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
		const history = await port.openHistory(snapshot?.meta.historyStart);
		await history.truncate(snapshot?.meta.historyBytes ?? 0);
		if (snapshot) {
			opening.machine.restoreSnapshot(snapshot.bytes);
		}

		return new ReplicaGroup(port, opening, history, snapshot);
	}

	readonly groupId: GroupId;
	readonly history: HistoryStream;
	readonly source: SnapshotSource;
	/** Takes proposals and reads. */
	readonly waiters: Waiters;
	state: RaftState;
	readonly #port: GroupPort;
	readonly #machine: StateMachine;
	readonly #formation: GroupFormation;
	readonly #log: GroupLog;
	readonly #keeper: SnapshotKeeper;
	#fetch: SnapshotFetch | undefined;
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
		this.#port = port;
		this.#machine = opening.machine;
		this.waiters = new Waiters({
			groupId,
			step: (event) => {
				this.step(event);
			},
			scheduleProposals: port.scheduleProposals,
		});
		this.#keeper = new SnapshotKeeper(port, groupId, snapshot?.meta);
		this.#log = new GroupLog({
			port,
			segments: log.segments,
			headSegment: opening.headSegment,
			onSynced: (event) => {
				this.step(event);
			},
		});
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

		this.#formation = this.#createFormation(opening);
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
		return this.#log.firstSegmentAfter(snapshotIndex);
	}

	/** Segment that holds the last rewritten vote and formation. */
	get headSegment(): number {
		return this.#log.headSegment;
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
		} else if (this.#formation.isOpen) {
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
		this.#log.headSegment = segment ?? this.#log.headSegment;
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

	/** Ends all waits; nothing happens afterwards. */
	stop(): void {
		this.#isStopped = true;
		this.waiters.rejectAll();
		this.#log.stop();
	}

	#createFormation({groupId, initialVoters, log}: GroupOpening) {
		return new GroupFormation({
			port: this.#port,
			initialVoters,
			formation: log.formation,
			hasLeader: () => this.state.leader !== undefined,
			isPristine: () => isPristine(this.state),
			currentMembership: () => currentMembership(this.state),
			save: async (formation) => {
				void this.#write([formationRecord(groupId, formation)]);
				return this.#log.afterWrites();
			},
			join: (membership) => {
				this.#join(membership);
			},
		});
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
		return this.#log.write(records, this.state);
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
				this.waiters.noteAppended(action.id, action.index, action.term);
				break;
			}

			case 'reply-read': {
				this.waiters.settleRead(action.id);
				break;
			}

			case 'reject-proposal':
			case 'reject-read': {
				this.waiters.refuse(action, this.state.leader?.daemonId);
				break;
			}

			case 'step-down':
			case 'become-leader':
			case 'leader-known': {
				this.#noteLeadership(action.type);
				break;
			}

			case 'offer-snapshot': {
				this.#keeper.offer(action.to, this.#machine, this.state, this.history);
				break;
			}

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
			this.waiters.rejectAll();
		}

		this.#port.leadershipChanged();
	}

	#send(action: Extract<RaftAction, {type: 'send'}>) {
		const {to, message, isAfterSync} = action;
		if (isAfterSync) {
			this.#log.sendAfterWrites(to, message);
		} else {
			this.#port.send(to, message);
		}
	}

	#performSnapshotAction(action: RaftAction) {
		if (action.type === 'fetch-snapshot') {
			this.#startFetch(action.from, action.meta);
		} else if (action.type === 'restore-snapshot') {
			this.#machine.restoreSnapshot(this.#fetch!.bytes);
			this.waiters.rejectAll();
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
			this.waiters.settleApplied(index, term, result);
		}

		if (this.#keeper.isDue(this.state, sizeBytes)) {
			this.takeSnapshot();
		}

		this.#port.logGrown();
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
