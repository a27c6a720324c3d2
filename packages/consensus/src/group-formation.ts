import type {DaemonId, DiskId} from '@marjoramcove/types';
import type {GroupPort} from './group-port.ts';
import type {Formation} from './log-records.ts';
import {
	EMPTY_MEMBERSHIP,
	findReplica,
	type Membership,
	type ReplicaDescriptor,
} from './membership.ts';
import type {FormationMessage} from './peer-messages.ts';
import type {InitialVoter} from './replica-options.ts';

/** Interval of the questions of a replica that does not belong to the group yet. */
const ASK_MS = 500;

/** What a {@link GroupFormation} works with. */
export type GroupFormationOptions = {
	port: GroupPort;
	initialVoters: readonly InitialVoter[];
	/** What the disk holds. */
	formation: Formation;
	/** Whether a live leader is known. */
	hasLeader: () => boolean;
	/** Whether the replica has never voted nor taken an entry. */
	isPristine: () => boolean;
	/** The present membership, as far as it is known. */
	currentMembership: () => Membership;
	/** Writes the formation; resolves when it is durable. */
	save: (formation: Formation) => Promise<void>;
	/** Sets the first membership. */
	join: (membership: Membership) => void;
};

/**
 * Forms the first membership of a group.
 *
 * An empty disk cannot know whether it is new or took the place of a lost one, so the settings alone
 * must not make it a voter. One coordinator, the initial voter with the lowest daemon id, collects a
 * durable promise from every other initial voter and then records the membership with their disk
 * ids. A disk that is not listed there waits until an operator puts it in the place of the lost one.
 */
export class GroupFormation {
	formation: Formation;
	readonly #options: GroupFormationOptions;
	readonly #coordinatorId: DaemonId | undefined;
	readonly #promised = new Map<DaemonId, DiskId>();
	/** Members that other replicas have named. */
	#namedIds: DaemonId[] = [];
	#askDueMs = Number.NEGATIVE_INFINITY;
	/** Another replica knows a membership without this disk. */
	#isForeign = false;
	#isSaving = false;
	#promiseSaved: Promise<void> = Promise.resolve();

	constructor(options: GroupFormationOptions) {
		this.#options = options;
		this.formation = options.formation;
		const ids = options.initialVoters.map((voter) => voter.daemonId);
		this.#coordinatorId = ids.toSorted()[0];
		const voters = options.initialVoters.filter(
			(voter): voter is ReplicaDescriptor => voter.diskId !== undefined,
		);
		const isStatic =
			voters.length > 0 && voters.length === options.initialVoters.length;
		if (isStatic && !this.formation.membership) {
			const membership = {voters, learners: []};
			this.formation = {...this.formation, membership};
			void options.save(this.formation);
			options.join(membership);
		}
	}

	get #isCoordinator() {
		return this.#coordinatorId === this.#options.port.self.daemonId;
	}

	/**
	 * Whether messages of the protocol may be taken. A replica that promised to join what the
	 * coordinator forms must not hold entries before it has recorded the result: if the coordinator
	 * lost its disk, the promise would be given again and a second first membership could be formed.
	 */
	get isOpen(): boolean {
		return (
			this.formation.membership !== undefined ||
			this.#isForeign ||
			(this.formation.promises ?? []).length === 0 ||
			this.#options.currentMembership().voters.length > 0
		);
	}

	/** Whether this disk may still take part in forming the group. */
	get #mayPromise() {
		return (
			this.formation.membership === undefined && this.#options.isPristine()
		);
	}

	get #isMember() {
		const {port, currentMembership} = this.#options;
		const {diskId} = port.self;
		return findReplica(currentMembership(), diskId) !== undefined;
	}

	/**
	 * Asks the other replicas as long as this one does not belong to the group, or hears no leader:
	 * it may have been removed without having received the entry that says so.
	 */
	tick(): void {
		const {port} = this.#options;
		const nowMs = port.clock.nowMs();
		const isServed = this.#isMember && this.#options.hasLeader();
		if (isServed || nowMs < this.#askDueMs) {
			return;
		}

		this.#askDueMs = nowMs + ASK_MS;
		const isForming =
			this.#isCoordinator && !this.#isForeign && this.#mayPromise;
		if (isForming && this.#others().length === 0) {
			this.#form();
			return;
		}

		const asked = new Set([
			...this.#others().map((voter) => voter.daemonId),
			...this.#namedIds,
		]);
		for (const daemonId of asked) {
			port.send(
				{daemonId, diskId: ''},
				{type: isForming ? 'form-query' : 'form-ask'},
			);
		}
	}

	receive(from: ReplicaDescriptor, message: FormationMessage): void {
		switch (message.type) {
			case 'form-query': {
				void this.#answerQuery(from);
				break;
			}

			case 'form-ask': {
				this.#sendResult(from);
				break;
			}

			case 'form-promise': {
				this.#notePromise(from);
				break;
			}

			case 'form-result': {
				this.#noteResult(message);
				break;
			}
		}
	}

	#others() {
		const {port, initialVoters} = this.#options;
		return initialVoters.filter(
			(voter) => voter.daemonId !== port.self.daemonId,
		);
	}

	/** Tells what is known; a replica that joined later knows no first membership. */
	#sendResult(to: ReplicaDescriptor) {
		const {formedBy, membership} = this.formation;
		const current = this.#options.currentMembership();
		if (membership ?? current.voters[0]) {
			this.#options.port.send(to, {
				type: 'form-result',
				formedBy: formedBy ?? ('' as DiskId),
				membership: membership ?? EMPTY_MEMBERSHIP,
				current,
			});
		}
	}

	async #answerQuery(from: ReplicaDescriptor) {
		if (
			this.formation.membership ??
			this.#options.currentMembership().voters[0]
		) {
			this.#sendResult(from);
			return;
		}

		const promises = this.formation.promises ?? [];
		if (
			!this.#mayPromise ||
			from.daemonId !== this.#coordinatorId ||
			this.#isCoordinator ||
			// A coordinator that lost its disk meanwhile must not come back into play.
			promises.slice(0, -1).includes(from.diskId)
		) {
			return;
		}

		if (promises.at(-1) !== from.diskId) {
			this.formation = {promises: [...promises, from.diskId]};
			this.#promiseSaved = this.#options.save(this.formation);
		}

		await this.#promiseSaved;
		if (this.#mayPromise && this.formation.promises?.at(-1) === from.diskId) {
			this.#options.port.send(from, {type: 'form-promise'});
		}
	}

	#notePromise(from: ReplicaDescriptor) {
		if (!this.#isCoordinator || !this.#mayPromise || this.#isForeign) {
			return;
		}

		this.#promised.set(from.daemonId, from.diskId);
		if (this.#others().every(({daemonId}) => this.#promised.has(daemonId))) {
			this.#form();
		}
	}

	#form() {
		if (this.#isSaving) {
			return;
		}

		const {port} = this.#options;
		const voters = [
			{daemonId: port.self.daemonId, diskId: port.self.diskId},
			...this.#others().map(({daemonId}) => ({
				daemonId,
				diskId: this.#promised.get(daemonId)!,
			})),
		];
		void this.#adopt({
			formedBy: port.self.diskId,
			membership: {voters, learners: []},
		});
	}

	#noteResult(result: Extract<FormationMessage, {type: 'form-result'}>) {
		const {voters, learners} = result.current;
		this.#namedIds = [...voters, ...learners]
			.map((replica) => replica.daemonId)
			.filter((daemonId) => daemonId !== this.#options.port.self.daemonId);
		if (this.formation.membership !== undefined || this.#isSaving) {
			return;
		}

		const {self} = this.#options.port;
		const isListed = result.membership.voters.some(
			(voter) => voter.diskId === self.diskId,
		);
		if (!isListed) {
			this.#isForeign = true;
		} else if (this.formation.promises?.at(-1) === result.formedBy) {
			void this.#adopt({
				promises: this.formation.promises,
				formedBy: result.formedBy,
				membership: result.membership,
			});
		}
	}

	async #adopt(formation: Formation & {membership: Membership}) {
		this.#isSaving = true;
		await this.#options.save(formation);
		this.formation = formation;
		this.#isSaving = false;
		this.#options.join(formation.membership);
		for (const voter of formation.membership.voters) {
			this.#sendResult(voter);
		}
	}
}
