import {copyCommand} from './copy-command.ts';
import {
	CommitUnknownError,
	NotLeaderError,
	RefusedError,
} from '@marjoramcove/errors';
import type {DaemonId, GroupId} from '@marjoramcove/types';
import type {MembershipChange} from './membership.ts';
import type {RaftAction, RaftEvent} from './raft-types.ts';

type PendingRequest<Value> = {
	resolve: (value: Value) => void;
	reject: (error: unknown) => void;
};

/** Result of a committed proposal, and its index in the log. */
export type ProposalOutcome = {index: number; result: unknown};

/** Dependencies of {@link PendingRequests}. */
export type PendingRequestsOptions = {
	groupId: GroupId;
	step: (event: RaftEvent) => void;
	/** Schedules a call of {@link PendingRequests.flush}. */
	scheduleProposals: () => void;
};

/** Pending proposals, membership changes and reads of one group. */
export class PendingRequests {
	readonly #groupId: GroupId;
	readonly #options: PendingRequestsOptions;
	#nextId = 0;
	#queue: Array<{id: number; command: Uint8Array}> = [];
	/** Proposals by id that are not in the log yet. */
	readonly #proposals = new Map<number, PendingRequest<ProposalOutcome>>();
	/** Proposals in the log by index. */
	readonly #appended = new Map<
		number,
		PendingRequest<ProposalOutcome> & {term: number}
	>();

	readonly #reads = new Map<number, PendingRequest<void>>();

	constructor(options: PendingRequestsOptions) {
		this.#groupId = options.groupId;
		this.#options = options;
	}

	/** Queues a command. {@link PendingRequests.flush} passes the queue to the protocol in one event. */
	async propose(command: Uint8Array): Promise<ProposalOutcome> {
		return new Promise((resolve, reject) => {
			this.#nextId += 1;
			this.#proposals.set(this.#nextId, {resolve, reject});
			// A copy, because the log retains the command and the caller may reuse its buffer.
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

	markAppended(id: number, index: number, term: number): void {
		const request = this.#proposals.get(id);
		if (request) {
			this.#proposals.delete(id);
			this.#appended.set(index, {...request, term});
		}
	}

	/** Rejects a proposal that was not appended, or a read. */
	reject(
		action: Extract<RaftAction, {type: 'reject-proposal' | 'reject-read'}>,
		leaderId: DaemonId | undefined,
	): void {
		const {id} = action;
		const request = this.#proposals.get(id) ?? this.#reads.get(id);
		this.#proposals.delete(id);
		this.#reads.delete(id);
		const reason = action.type === 'reject-read' ? 'not-leader' : action.reason;
		request?.reject(
			reason === 'not-leader'
				? new NotLeaderError(this.#groupId, leaderId)
				: new RefusedError(
						`Group ${this.#groupId} refused the proposal: ${reason}.`,
						{reason, hint: 'Retry after a while.'},
					),
		);
	}

	/** Settles the proposal at an applied index. */
	settleApplied(index: number, term: number, result: unknown): void {
		const request = this.#appended.get(index);
		if (!request) {
			return;
		}

		this.#appended.delete(index);
		if (request.term === term) {
			request.resolve({index, result});
		} else {
			// Another entry was committed at this index, so the proposal can no longer be committed.
			request.reject(new NotLeaderError(this.#groupId));
		}
	}

	settleRead(id: number): void {
		this.#reads.get(id)?.resolve();
		this.#reads.delete(id);
	}

	/** Rejects all requests. Proposals in the log may still be committed; the others were not appended. */
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
