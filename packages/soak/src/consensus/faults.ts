import {stepRaft} from '@marjoramcove/consensus';
import type {DaemonEnvironment} from './simulated-daemon.ts';

type Step = typeof stepRaft;

/** Sends messages of these types before the writes that they depend on are durable. */
const sendBeforeSync =
	(types: ReadonlySet<string>): Step =>
	(state, event, nowMs, random) => {
		const result = stepRaft(state, event, nowMs, random);
		for (const action of result.actions) {
			if (action.type === 'send' && types.has(action.message.type)) {
				action.isAfterSync = false;
			}
		}

		return result;
	};

/** Answers reads without confirming the leadership with a majority. */
const readWithoutQuorum: Step = (state, event, nowMs, random) =>
	event.type === 'read' && state.role === 'leader'
		? {
				state,
				actions: [{type: 'reply-read', id: event.id, index: state.commitIndex}],
			}
		: stepRaft(state, event, nowMs, random);

/** Forgets the vote of the current term, so that a replica can vote twice in it. */
const forgetVote: Step = (state, event, nowMs, random) => {
	if (event.type === 'message' && event.message.type === 'vote') {
		state.votedFor = undefined;
		state.durableVote = undefined;
	}

	return stepRaft(state, event, nowMs, random);
};

/** Faults that can be injected into the replicas. A check must detect each of them. */
export const CONSENSUS_FAULTS: Record<string, Partial<DaemonEnvironment>> = {
	'skip-fsync': {isSyncSkipped: (file) => file.includes('/wal/')},
	'vote-before-sync': {
		step: sendBeforeSync(new Set(['vote', 'vote-response'])),
	},
	'append-before-sync': {step: sendBeforeSync(new Set(['append-response']))},
	'no-quorum-read': {step: readWithoutQuorum},
	'double-vote': {step: forgetVote},
	'delete-live-history': {
		findHistoryStart: (operations) =>
			Buffer.byteLength(operations.map((id) => `${id}\n`).join('')),
	},
	'reuse-disk-id': {createDiskId: (daemonId) => `disk-${daemonId}`},
};
