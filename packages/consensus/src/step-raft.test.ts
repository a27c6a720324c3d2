import {describe, expect, it} from 'vitest';
import {DEFAULT_RAFT_SETTINGS, type RaftEvent} from './raft-types.ts';
import {
	appendOf,
	command,
	entry,
	membershipOf,
	sentMessages,
	TestReplica,
	replica,
} from './replica.fixture.ts';

const threeVoters = membershipOf('a', 'b', 'c');

describe('stepRaft', () => {
	describe('elections', () => {
		it('does not raise the term before a majority agrees to an election', () => {
			const a = new TestReplica('a', threeVoters);
			const sent = sentMessages(a.advanceTime(2000));
			expect(sent.map((message) => message.type)).toEqual([
				'pre-vote',
				'pre-vote',
			]);
			expect(a.state.term).toBe(0);
		});

		it('counts its own vote only once it is durable', () => {
			const a = new TestReplica('a', threeVoters);
			a.advanceTime(2000);
			a.receive('b', {type: 'pre-vote-response', term: 1, isGranted: true});
			a.receive('b', {type: 'vote-response', term: 1, isGranted: true});
			expect(a.state.role).toBe('candidate');
			a.sync();
			expect(a.state.role).toBe('leader');
		});

		it('sends a vote only after the sync, and votes once per term', () => {
			const a = new TestReplica('a', threeVoters);
			const request = {
				type: 'vote',
				term: 1,
				lastIndex: 0,
				lastTerm: 0,
				isTransfer: false,
			} as const;
			const actions = a.step({
				type: 'message',
				from: replica('b'),
				message: request,
			});
			expect(actions).toContainEqual({
				type: 'send',
				to: replica('b'),
				message: {type: 'vote-response', term: 1, isGranted: true},
				isAfterSync: true,
			});
			expect(a.receive('c', request)).toEqual([
				{type: 'vote-response', term: 1, isGranted: false},
			]);
		});

		it('refuses a candidate whose log is behind', () => {
			const a = new TestReplica('a', threeVoters, {
				term: 2,
				entries: [entry(1, 2)],
			});
			const sent = a.receive('b', {
				type: 'vote',
				term: 3,
				lastIndex: 5,
				lastTerm: 1,
				isTransfer: false,
			});
			expect(sent).toEqual([
				{type: 'vote-response', term: 3, isGranted: false},
			]);
		});

		it('ignores a returning replica with a later term while the leader is live', () => {
			const a = new TestReplica('a', threeVoters);
			a.receive('b', appendOf(1, {index: 0, term: 0}, []));
			const sent = a.receive('c', {
				type: 'vote',
				term: 9,
				lastIndex: 9,
				lastTerm: 9,
				isTransfer: false,
			});
			expect(sent).toEqual([]);
			expect(a.state.term).toBe(1);
		});

		it('never campaigns if it is not a voter', () => {
			const a = new TestReplica('a', membershipOf('b', 'c'));
			expect(sentMessages(a.advanceTime(5000))).toEqual([]);
		});

		it('fails on a second leader in the same term', () => {
			const a = new TestReplica('a', threeVoters);
			a.receive('b', appendOf(1, {index: 0, term: 0}, []));
			expect(() =>
				a.receive('c', appendOf(1, {index: 0, term: 0}, [])),
			).toThrow('one-leader-per-term');
		});
	});

	describe('replication', () => {
		it('commits only what a majority has on disk', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			a.acknowledge('b');
			const previousCommitIndex = a.state.commitIndex;
			a.step({type: 'propose', proposals: [{id: 1, command: command('x')}]});
			a.acknowledge('b');
			expect(a.state.commitIndex).toBe(previousCommitIndex);
			a.sync();
			expect(a.state.commitIndex).toBe(previousCommitIndex + 1);
		});

		it('does not commit an entry of an earlier term by counting', () => {
			const a = new TestReplica('a', threeVoters, {
				term: 1,
				entries: [entry(1, 1)],
			});
			a.winElection('b');
			a.acknowledge('b', 1);
			expect(a.state.commitIndex).toBe(0);
			a.acknowledge('b', 2);
			expect(a.state.commitIndex).toBe(2);
		});

		it('replaces a conflicting suffix, and fails if the suffix is committed', () => {
			const a = new TestReplica('a', threeVoters, {
				term: 1,
				entries: [entry(1, 1), entry(2, 1), entry(3, 1)],
			});
			a.receive('b', appendOf(2, {index: 1, term: 1}, [entry(2, 2)], 2));
			expect(a.state.log.lastIndex).toBe(2);
			expect(a.state.commitIndex).toBe(2);
			expect(() =>
				a.receive('c', appendOf(3, {index: 1, term: 1}, [entry(2, 3)])),
			).toThrow('committed-entries-never-change');
		});

		it('hints at the last entry that may match when entries are missing', () => {
			const a = new TestReplica('a', threeVoters, {
				term: 1,
				entries: [entry(1, 1)],
			});
			expect(a.receive('b', appendOf(1, {index: 9, term: 1}, []))).toEqual([
				{
					type: 'append-response',
					term: 1,
					isAccepted: false,
					index: 9,
					hintIndex: 1,
				},
			]);
		});

		it('limits the unanswered messages to a slow replica', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			a.acknowledge('b');
			let sent = 0;
			for (let id = 0; id < 100; id++) {
				const actions = a.step({
					type: 'propose',
					proposals: [{id, command: command('x')}],
				});
				sent += actions.filter(
					(action) => action.type === 'send' && action.to.diskId === 'disk-b',
				).length;
			}

			expect(sent).toBe(DEFAULT_RAFT_SETTINGS.appendsInFlight);
		});

		it('refuses proposals beyond the limit of uncommitted bytes', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			const size = DEFAULT_RAFT_SETTINGS.uncommittedSizeBytes;
			const actions = a.step({
				type: 'propose',
				proposals: [
					{id: 1, command: new Uint8Array(size)},
					{id: 2, command: new Uint8Array(1)},
				],
			});
			expect(actions).toContainEqual({
				type: 'reject-proposal',
				id: 2,
				reason: 'too-many-uncommitted',
			});
		});
	});

	describe('reads', () => {
		it('answers only after a majority confirmed the leadership after the read arrived', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			a.acknowledge('b');
			a.step({type: 'read', id: 1});
			const {round} = a.state;
			a.step({type: 'read', id: 2});
			const heartbeatResponse = (number: number): RaftEvent => ({
				type: 'message',
				from: replica('b'),
				message: {
					type: 'heartbeat-response',
					term: a.state.term,
					round: number,
				},
			});
			const first = a.step(heartbeatResponse(round));
			expect(first.filter((action) => action.type === 'reply-read')).toEqual([
				{type: 'reply-read', id: 1, index: 1},
			]);
			const second = a.step(heartbeatResponse(round + 1));
			expect(second).toContainEqual({type: 'reply-read', id: 2, index: 1});
		});

		it('rejects pending reads when the leader loses its majority', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			a.acknowledge('b');
			a.step({type: 'read', id: 1});
			const actions = a.advanceTime(5000);
			expect(actions).toContainEqual({type: 'reject-read', id: 1});
			expect(a.state.role).toBe('follower');
		});
	});

	describe('membership', () => {
		const addLearner = (name: string, id: number): RaftEvent => ({
			type: 'change-membership',
			id,
			change: {type: 'add-learner', replica: replica(name)},
		});

		it('allows one change at a time', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			a.acknowledge('b');
			a.step(addLearner('d', 1));
			expect(a.step(addLearner('e', 2))).toEqual([
				{type: 'reject-proposal', id: 2, reason: 'change-under-way'},
			]);
		});

		it('promotes a learner only once it has every committed entry, then removes the lost voter', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			a.acknowledge('b');
			const change = {
				type: 'add-learner',
				replica: {...replica('d'), replaces: replica('c').diskId},
			} as const;
			a.step({type: 'change-membership', id: 1, change});
			a.sync();
			a.acknowledge('b');
			const names = () =>
				a.state.memberships
					.at(-1)!
					.membership.voters.map((voter) => voter.daemonId);
			a.acknowledge('d', 1);
			expect(names()).toEqual(['a', 'b', 'c']);
			a.acknowledge('d');
			expect(names()).toEqual(['a', 'b', 'c', 'd']);
			a.sync();
			a.acknowledge('b');
			a.acknowledge('d');
			expect(names()).toEqual(['a', 'b', 'd']);
		});
	});

	describe('snapshots', () => {
		it('applies no entries while a snapshot is fetched, to keep the history in order', () => {
			const a = new TestReplica('a', threeVoters, {
				term: 1,
				entries: [entry(1, 1)],
			});
			a.receive('b', {
				type: 'snapshot-offer',
				term: 1,
				meta: {
					index: 50,
					term: 1,
					membership: threeVoters,
					historyBytes: 0,
					sizeBytes: 0,
				},
			});
			a.receive('b', {type: 'heartbeat', term: 1, commitIndex: 1, round: 0});
			a.receive('b', appendOf(1, {index: 1, term: 1}, [], 1));
			expect(a.state.appliedIndex).toBe(0);
		});

		it('switches to a snapshot for a replica that needs dropped entries', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			for (let id = 0; id < 2000; id++) {
				a.step({type: 'propose', proposals: [{id, command: command('x')}]});
				a.sync();
				a.acknowledge('b');
			}

			a.step({type: 'snapshot-taken', index: a.state.commitIndex});
			const actions = a.receive('c', {
				type: 'append-response',
				term: a.state.term,
				isAccepted: false,
				index: 1,
				hintIndex: 0,
			});
			expect(actions).toEqual([]);
			expect(a.state.progress.get(replica('c').diskId)?.mode).toBe('snapshot');
		});
	});

	describe('a full disk', () => {
		it('ends the leadership and refuses proposals as not run', () => {
			const a = new TestReplica('a', threeVoters).winElection('b');
			const actions = a.step({type: 'storage-stalled', isStalled: true});
			expect(actions.map((action) => action.type)).toContain('step-down');
			expect(
				a.step({type: 'propose', proposals: [{id: 1, command: command('x')}]}),
			).toEqual([{type: 'reject-proposal', id: 1, reason: 'not-leader'}]);
		});
	});
});
