import {describe, expect, it} from 'vitest';
import {command, membershipOf, messagesOf, Replica} from './replica.fixture.ts';

const TRIO = membershipOf('a', 'b', 'c');

/** A leader with 50 committed entries, of which `c` has only the first ten. */
const leaderWithSlowReplica = () => {
	const leader = new Replica('a', TRIO).lead('b');
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

const trim = (leader: Replica, isForced: boolean, sizeBytes = 1000) =>
	leader.step({type: 'trim-log', sizeBytes, snapshotIndex: 0, isForced});

describe('trim-log', () => {
	it('keeps what a live replica needs unless it is forced (failure: a replica that is a little behind needs a snapshot each time)', () => {
		const leader = leaderWithSlowReplica();
		trim(leader, false);
		expect(leader.state.log.baseIndex).toBe(10);
		trim(leader, true);
		expect(leader.state.log.sizeBytes).toBeLessThanOrEqual(1000);
		expect(leader.state.log.lastIndex).toBe(50);
	});

	it('never drops an entry that is not applied or not durable (failure: an entry is lost before it is committed)', () => {
		const leader = leaderWithSlowReplica();
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

	it('offers a snapshot to a replica that needs dropped entries (failure: the replica waits forever)', () => {
		const leader = leaderWithSlowReplica();
		trim(leader, true, 0);
		const actions = leader.step({
			type: 'message',
			from: {...TRIO.voters[2]!},
			message: {
				type: 'append-response',
				term: leader.state.term,
				isAccepted: false,
				index: 50,
				hintIndex: 10,
			},
		});
		expect(actions.map(({type}) => type)).toContain('offer-snapshot');
		expect(messagesOf(actions)).toEqual([]);
	});
});
