import {copyCommand} from './copy-command.ts';
import {
	CommitUnknownError,
	NotLeaderError,
	RefusedError,
} from '@marjoramcove/errors';
import type {DaemonId, GroupId} from '@marjoramcove/types';
import type {MembershipChange} from './membership.ts';
import type {RaftAction, RaftEvent} from './raft-types.ts';

type Settle<Value> = {
	resolve: (value: Value) => void;
	reject: (error: unknown) => void;
};

/** Outcome of a committed proposal. */
export type ProposalOutcome = {index: number; result: unknown};

/** What {@link Waiters} need of their group. */
export type WaitersOptions = {
	groupId: GroupId;
	step: (event: RaftEvent) => void;
	/** Asks for a call of {@link Waiters.flush}. */
	scheduleProposals: () => void;
};

/**
 * The callers that wait for proposals and reads of one group.
 */
export class Waiters {
	readonly #groupId: GroupId;
	readonly #options: WaitersOptions;
	#nextId = 0;
	#queue: Array<{id: number; command: Uint8Array}> = [];
	/** Proposals that are not in the log yet. */
	readonly #proposals = new Map<number, Settle<ProposalOutcome>>();
	/** Proposals in the log by index. */
	readonly #appended = new Map<
		number,
		Settle<ProposalOutcome> & {term: number}
	>();

	readonly #reads = new Map<number, Settle<void>>();

	constructor(options: WaitersOptions) {
		this.#groupId = options.groupId;
		this.#options = options;
	}

	/** Queues a command; {@link Waiters.flush} hands the queue to the protocol at once. */
	async propose(command: Uint8Array): Promise<ProposalOutcome> {
		return new Promise((resolve, reject) => {
			this.#nextId += 1;
			this.#proposals.set(this.#nextId, {resolve, reject});
			// A copy, because the log keeps it, and the caller may reuse a larger buffer.
			this.#queue.push({id: this.#nextId, command: copyCommand(command)});
			this.#options.scheduleProposals();
		});
	}

	async changeMembership(change: MembershipChange): Promise<ProposalOutcome> {
		return new Promise((resolve, reject) => {
			this.#nextId += 1;
			const id = this.#nextId;
			this.#proposals.set(id, {resolve, reject});
			this.#options.step({type: 'change-membership', id, change});
		});
	}

	async read(): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#nextId += 1;
			const id = this.#nextId;
			this.#reads.set(id, {resolve, reject});
			this.#options.step({type: 'read', id});
		});
	}

	flush(): void {
		if (this.#queue.length > 0) {
			const proposals = this.#queue;
			this.#queue = [];
			this.#options.step({type: 'propose', proposals});
		}
	}

	noteAppended(id: number, index: number, term: number): void {
		const settle = this.#proposals.get(id);
		if (settle) {
			this.#proposals.delete(id);
			this.#appended.set(index, {...settle, term});
		}
	}

	/** Rejects a proposal that was not appended, or a read. */
	refuse(
		action: Extract<RaftAction, {type: 'reject-proposal' | 'reject-read'}>,
		leaderId: DaemonId | undefined,
	): void {
		const {id} = action;
		const settle = this.#proposals.get(id) ?? this.#reads.get(id);
		this.#proposals.delete(id);
		this.#reads.delete(id);
		const reason = action.type === 'reject-read' ? 'not-leader' : action.reason;
		settle?.reject(
			reason === 'not-leader'
				? new NotLeaderError(this.#groupId, leaderId)
				: new RefusedError(
						`Group ${this.#groupId} refused the proposal: ${reason}.`,
						{reason, hint: 'Retry after a while.'},
					),
		);
	}

	/** Settles the proposal at an index that has been applied. */
	settleApplied(index: number, term: number, result: unknown): void {
		const settle = this.#appended.get(index);
		if (!settle) {
			return;
		}

		this.#appended.delete(index);
		if (settle.term === term) {
			settle.resolve({index, result});
		} else {
			// Another entry is committed at this index, so the proposal can never be.
			settle.reject(new NotLeaderError(this.#groupId));
		}
	}

	settleRead(id: number): void {
		this.#reads.get(id)?.resolve();
		this.#reads.delete(id);
	}

	/** Ends all waits: what is in the log may still be committed, the rest was not appended. */
	rejectAll(): void {
		for (const {reject} of this.#appended.values()) {
			reject(new CommitUnknownError(this.#groupId));
		}

		for (const {reject} of [
			...this.#proposals.values(),
			...this.#reads.values(),
		]) {
			reject(new NotLeaderError(this.#groupId));
		}

		this.#queue = [];
		this.#appended.clear();
		this.#proposals.clear();
		this.#reads.clear();
	}
}
