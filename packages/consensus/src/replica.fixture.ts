import {
	asId,
	type DaemonId,
	type DiskId,
	type GroupId,
} from '@marjoramcove/types';
import type {Membership, ReplicaDescriptor} from './membership.ts';
import {createRaftState} from './raft-state.ts';
import {
	DEFAULT_RAFT_SETTINGS,
	type LogEntry,
	type RaftAction,
	type RaftEvent,
	type RaftMessage,
	type RaftState,
} from './raft-types.ts';
import {stepRaft} from './step-raft.ts';

export const replica = (name: string): ReplicaDescriptor => ({
	daemonId: asId<DaemonId>(name),
	diskId: asId<DiskId>(`disk-${name}`),
});

export const membershipOf = (...names: string[]): Membership => ({
	voters: names.map((name) => replica(name)),
	learners: [],
});

export const command = (text: string) => Buffer.from(text);

export const entry = (index: number, term: number): LogEntry => ({
	index,
	term,
	kind: 'command',
	command: command(`${index}`),
});

/** A replica for protocol tests. The test delivers all messages to it. */
export class TestReplica {
	nowMs = 0;
	state: RaftState;

	constructor(
		name: string,
		membership: Membership,
		recovered: {term?: number; entries?: LogEntry[]} = {},
	) {
		this.state = createRaftState(
			{
				groupId: asId<GroupId>('shard-0'),
				selfId: replica(name).diskId,
				term: recovered.term ?? 0,
				votedFor: undefined,
				baseIndex: 0,
				baseTerm: 0,
				membership,
				entries: recovered.entries ?? [],
				snapshotIndex: 0,
			},
			DEFAULT_RAFT_SETTINGS,
			0,
			() => 0,
		);
	}

	step(event: RaftEvent): RaftAction[] {
		const {state, actions} = stepRaft(this.state, event, this.nowMs, () => 0);
		this.state = state;
		return actions;
	}

	receive(from: string, message: RaftMessage): RaftMessage[] {
		return sentMessages(
			this.step({type: 'message', from: replica(from), message}),
		);
	}

	/** Makes all earlier writes durable. */
	sync(): RaftAction[] {
		const {log, term, votedFor} = this.state;
		return this.step({
			type: 'synced',
			index: log.lastIndex,
			entryTerm: log.lastTerm,
			term,
			votedFor,
		});
	}

	advanceTime(durationMs: number): RaftAction[] {
		this.nowMs += durationMs;
		return this.step({type: 'tick'});
	}

	/** Wins an election with the vote of one other voter. */
	winElection(voter: string): this {
		this.advanceTime(2000);
		this.receive(voter, {
			type: 'pre-vote-response',
			term: this.state.term + 1,
			isGranted: true,
		});
		this.sync();
		this.receive(voter, {
			type: 'vote-response',
			term: this.state.term,
			isGranted: true,
		});
		this.sync();
		return this;
	}

	acknowledge(from: string, index = this.state.log.lastIndex): RaftAction[] {
		return this.step({
			type: 'message',
			from: replica(from),
			message: {
				type: 'append-response',
				term: this.state.term,
				isAccepted: true,
				index,
				hintIndex: 0,
			},
		});
	}
}

export const sentMessages = (actions: RaftAction[]) =>
	actions.flatMap((action) => (action.type === 'send' ? [action.message] : []));

export const appendOf = (
	term: number,
	previous: {index: number; term: number},
	entries: LogEntry[],
	commitIndex = 0,
): RaftMessage => ({
	type: 'append',
	term,
	previousIndex: previous.index,
	previousTerm: previous.term,
	commitIndex,
	entries,
});
