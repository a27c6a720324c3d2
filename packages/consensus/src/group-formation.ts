import type {DaemonId, DiskId} from '@marjoramcove/types';
import type {GroupHost} from './group-host.ts';
import type {Formation} from './log-records.ts';
import {
	EMPTY_MEMBERSHIP,
	findReplica,
	type Membership,
	type ReplicaDescriptor,
} from './membership.ts';
import type {FormationMessage} from './peer-messages.ts';
import type {InitialVoter} from './replica-options.ts';

/** Interval between queries of a replica that is not a member or knows no leader. */
const QUERY_INTERVAL_MS = 500;

/** Dependencies of a {@link GroupFormation}. */
export type GroupFormationOptions = {
	host: GroupHost;
	/** Empty unless the deployment starts for the first time. */
	initialVoters: readonly InitialVoter[];
	/** Formation state recovered from the disk. */
	formation: Formation;
	/** Whether a live leader is known. */
	hasLeader: () => boolean;
	/** Whether the replica has neither voted nor accepted an entry. */
	isPristine: () => boolean;
	/** The latest membership that this replica knows. */
	currentMembership: () => Membership;
	/** Writes the formation state. Resolves when it is durable. */
	save: (formation: Formation) => Promise<void>;
	/** Sets the initial membership. */
	join: (membership: Membership) => void;
};

/**
 * Forms the initial membership of a group.
 *
 * A daemon with an empty disk cannot tell whether the disk is new or replaces a lost one, so the
 * configured list of daemons alone must not make it a voter. The coordinator, which is the initial
 * voter with the lowest daemon id, collects a durable promise from every other initial voter and then
 * records the membership with their disk ids. A disk that is not in that membership stays out of the
 * group until an operator replaces the lost disk with it.
 *
 * A daemon that restarts before the group is formed no longer knows that the deployment starts for the
 * first time, so the initial voters are kept on its disk, and unformed replicas tell them each other. A
 * replica that learns them this way is as safe as a configured one: a group forms only with the promises
 * of all initial voters, and one that has joined a membership or accepted an entry gives none.
 */
export class GroupFormation {
	formation: Formation;
	readonly #options: GroupFormationOptions;
	#voterIds: readonly DaemonId[];
	readonly #promisedDisks = new Map<DaemonId, DiskId>();
	/** Members of the current membership that another replica reported. */
	#knownMemberIds: DaemonId[] = [];
	#nextQueryMs = Number.NEGATIVE_INFINITY;
	/** Whether another replica reported an initial membership without this disk. */
	#isExcluded = false;
	#isSaving = false;
	#promiseWrite: Promise<void> = Promise.resolve();

	constructor(options: GroupFormationOptions) {
		this.#options = options;
		this.formation = options.formation;
		const configuredIds = options.initialVoters.map(({daemonId}) => daemonId);
		this.#voterIds =
			configuredIds.length > 0
				? configuredIds
				: (options.formation.voterIds ?? []);
		const voters = options.initialVoters.filter(
			(voter): voter is ReplicaDescriptor => voter.diskId !== undefined,
		);
		const hasAllDiskIds =
			voters.length > 0 && voters.length === options.initialVoters.length;
		if (hasAllDiskIds && !this.formation.membership) {
			const membership = {voters, learners: []};
			this.formation = {...this.formation, membership};
			void options.save(this.formation);
			options.join(membership);
		} else if (configuredIds.length > 0) {
			this.#keepVoterIds(configuredIds);
		}
	}

	get #coordinatorId(): DaemonId | undefined {
		return this.#voterIds.toSorted()[0];
	}

	get #isCoordinator() {
		return this.#coordinatorId === this.#options.host.self.daemonId;
	}

	/**
	 * Whether Raft messages may be processed. A replica that has sent a promise to the coordinator must
	 * not accept entries before it has recorded the result. If the coordinator lost its disk, the
	 * replica would otherwise send another promise, and a second initial membership could be formed.
	 */
	get acceptsRaftMessages(): boolean {
		return (
			this.formation.membership !== undefined ||
			this.#isExcluded ||
			(this.formation.promises ?? []).length === 0 ||
			this.#options.currentMembership().voters.length > 0
		);
	}

	/** Whether this disk may still take part in the formation. */
	get #canPromise() {
		return (
			this.formation.membership === undefined && this.#options.isPristine()
		);
	}

	get #isMember() {
		const {host, currentMembership} = this.#options;
		const {diskId} = host.self;
		return findReplica(currentMembership(), diskId) !== undefined;
	}

	/**
	 * Queries the other replicas while this replica is not a member or knows no leader. A member
	 * without a leader may have been removed without receiving the entry that removed it.
	 */
	tick(): void {
		const {host} = this.#options;
		const nowMs = host.clock.nowMs();
		const hasJoined = this.#isMember && this.#options.hasLeader();
		if (hasJoined || nowMs < this.#nextQueryMs) {
			return;
		}

		this.#nextQueryMs = nowMs + QUERY_INTERVAL_MS;
		const isForming =
			this.#isCoordinator && !this.#isExcluded && this.#canPromise;
		if (isForming && this.#otherVoters().length === 0) {
			this.#form();
			return;
		}

		const recipients = new Set([
			...this.#otherVoters(),
			...this.#knownMemberIds,
		]);
		for (const daemonId of recipients) {
			const to = {daemonId, diskId: ''} as const;
			if (this.#voterIds.length > 0 && this.#canPromise) {
				host.send(to, {type: 'form-voters', voterIds: this.#voterIds});
			}

			host.send(to, {type: isForming ? 'form-query' : 'form-ask'});
		}
	}

	receive(from: ReplicaDescriptor, message: FormationMessage): void {
		switch (message.type) {
			case 'form-query': {
				void this.#handleQuery(from);
				break;
			}

			case 'form-ask': {
				this.#sendResult(from);
				break;
			}

			case 'form-voters': {
				this.#learnVoterIds(message.voterIds);
				break;
			}

			case 'form-promise': {
				this.#handlePromise(from);
				break;
			}

			case 'form-result': {
				this.#handleResult(message);
				break;
			}
		}
	}

	#otherVoters(): DaemonId[] {
		const {daemonId: selfId} = this.#options.host.self;
		return this.#voterIds.filter((daemonId) => daemonId !== selfId);
	}

	#learnVoterIds(voterIds: readonly DaemonId[]): void {
		const {self} = this.#options.host;
		if (
			this.#voterIds.length === 0 &&
			voterIds.includes(self.daemonId) &&
			!this.#isExcluded &&
			this.#canPromise
		) {
			this.#voterIds = voterIds;
			this.#keepVoterIds(voterIds);
		}
	}

	#keepVoterIds(voterIds: readonly DaemonId[]): void {
		if (this.#canPromise && !this.formation.voterIds) {
			this.formation = {...this.formation, voterIds: [...voterIds]};
			void this.#options.save(this.formation);
		}
	}

	/** Sends the known memberships. A replica that joined later does not know the initial membership. */
	#sendResult(to: ReplicaDescriptor) {
		const {formedBy, membership} = this.formation;
		const current = this.#options.currentMembership();
		if (membership ?? current.voters[0]) {
			this.#options.host.send(to, {
				type: 'form-result',
				formedBy: formedBy ?? ('' as DiskId),
				membership: membership ?? EMPTY_MEMBERSHIP,
				current,
			});
		}
	}

	async #handleQuery(from: ReplicaDescriptor) {
		if (
			this.formation.membership ??
			this.#options.currentMembership().voters[0]
		) {
			this.#sendResult(from);
			return;
		}

		const promises = this.formation.promises ?? [];
		if (
			!this.#canPromise ||
			from.daemonId !== this.#coordinatorId ||
			this.#isCoordinator ||
			// Ignore an earlier coordinator disk: a later one has superseded it.
			promises.slice(0, -1).includes(from.diskId)
		) {
			return;
		}

		if (promises.at(-1) !== from.diskId) {
			this.formation = {
				...this.formation,
				promises: [...promises, from.diskId],
			};
			this.#promiseWrite = this.#options.save(this.formation);
		}

		await this.#promiseWrite;
		if (this.#canPromise && this.formation.promises?.at(-1) === from.diskId) {
			this.#options.host.send(from, {type: 'form-promise'});
		}
	}

	#handlePromise(from: ReplicaDescriptor) {
		if (!this.#isCoordinator || !this.#canPromise || this.#isExcluded) {
			return;
		}

		this.#promisedDisks.set(from.daemonId, from.diskId);
		if (
			this.#otherVoters().every((daemonId) => this.#promisedDisks.has(daemonId))
		) {
			this.#form();
		}
	}

	#form() {
		if (this.#isSaving) {
			return;
		}

		const {host} = this.#options;
		const voters = [
			{daemonId: host.self.daemonId, diskId: host.self.diskId},
			...this.#otherVoters().map((daemonId) => ({
				daemonId,
				diskId: this.#promisedDisks.get(daemonId)!,
			})),
		];
		void this.#saveAndJoin({
			formedBy: host.self.diskId,
			membership: {voters, learners: []},
		});
	}

	#handleResult(result: Extract<FormationMessage, {type: 'form-result'}>) {
		const {voters, learners} = result.current;
		this.#knownMemberIds = [...voters, ...learners]
			.map((replica) => replica.daemonId)
			.filter((daemonId) => daemonId !== this.#options.host.self.daemonId);
		if (this.formation.membership !== undefined || this.#isSaving) {
			return;
		}

		const {self} = this.#options.host;
		const isListed = result.membership.voters.some(
			(voter) => voter.diskId === self.diskId,
		);
		if (!isListed) {
			this.#isExcluded = true;
		} else if (this.formation.promises?.at(-1) === result.formedBy) {
			void this.#saveAndJoin({
				promises: this.formation.promises,
				formedBy: result.formedBy,
				membership: result.membership,
			});
		}
	}

	async #saveAndJoin(formation: Formation & {membership: Membership}) {
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
