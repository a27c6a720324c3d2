import {describe, expect, it} from 'vitest';
import {
	command,
	membershipOf,
	sentMessages,
	TestReplica,
} from './replica.fixture.ts';

const THREE_VOTERS = membershipOf('a', 'b', 'c');

/** Creates a leader with 50 committed entries, of which `c` has only the first ten. */
const createLeaderWithSlowReplica = () => {
	const leader = new TestReplica('a', THREE_VOTERS).winElection('b');
	leader.acknowledge('c', leader.state.log.lastIndex);
	leader.step({
		type: 'propose',
		proposals: Array.from({length: 49}, (_, id) => ({
			id,
			command: command('x'.repeat(100)),
		})),
	});
	leader.sync();
	leader.acknowledge('b');
	leader.acknowledge('c', 10);
	return leader;
};

const trim = (leader: TestReplica, isForced: boolean, sizeBytes = 1000) =>
	leader.step({type: 'trim-log', sizeBytes, snapshotIndex: 0, isForced});

describe('trim-log', () => {
	it('keeps entries that a live replica needs unless forced, so that a slightly lagging replica needs no snapshot', () => {
		const leader = createLeaderWithSlowReplica();
		trim(leader, false);
		expect(leader.state.log.baseIndex).toBe(10);
		trim(leader, true);
		expect(leader.state.log.sizeBytes).toBeLessThanOrEqual(1000);
		expect(leader.state.log.lastIndex).toBe(50);
	});

	it('never drops an entry that is not applied or not durable, so that no uncommitted entry is lost', () => {
		const leader = createLeaderWithSlowReplica();
		leader.step({
			type: 'propose',
			proposals: [{id: 99, command: command('open')}],
		});
		trim(leader, true, 0);
		expect(leader.state.log.baseIndex).toBe(50);
		expect(leader.state.log.lastIndex).toBe(51);
		leader.sync();
		leader.acknowledge('b');
		expect(leader.state.commitIndex).toBe(51);
	});

	it('offers a snapshot to a replica that needs dropped entries, so that it does not wait forever', () => {
		const leader = createLeaderWithSlowReplica();
		trim(leader, true, 0);
		const actions = leader.step({
			type: 'message',
			from: {...THREE_VOTERS.voters[2]!},
			message: {
				type: 'append-response',
				term: leader.state.term,
				isAccepted: false,
				index: 50,
				hintIndex: 10,
			},
		});
		expect(actions.map(({type}) => type)).toContain('offer-snapshot');
		expect(sentMessages(actions)).toEqual([]);
	});
});
