import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, RefusedError, reasonOf} from '@marjoramcove/errors';
import type {FleetMember} from '@marjoramcove/fleet';
import type {DaemonId, GroupId} from '@marjoramcove/types';
import {
	chooseOtherReplica,
	findShardLeader,
	findShardReplicas,
} from '../find-shard-leader.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {PeersService} from './peers-service.ts';

/** Timeout of a call to a shard leader; a commit takes a few milliseconds, an election about a second. */
const CALL_TIMEOUT_MS = 500;

const RETRY_DELAY_MS = 30;

/** Reasons of failures that a repeated call meets again. */
const FINAL_REASONS: ReadonlySet<string> = new Set([
	'command-too-large',
	'peer-answer-too-large',
	'peer-message-too-large',
]);

/** Calls the replicas of the program shards from an entry daemon. */
export class ShardClient {
	readonly #context: GatewayContext;
	readonly #peers: PeersService;
	/**
	 * Daemon to call for each group: a leader named by another replica, or the next replica to try after a
	 * failure. Takes precedence over the view until its members change.
	 */
	readonly #leaderHints = new Map<GroupId, DaemonId>();
	#isStopped = false;

	constructor(context: GatewayContext, peers: PeersService) {
		this.#context = context;
		this.#peers = peers;
	}

	/** Drops what was learned from earlier calls, which the reports of the members now supersede. */
	forgetLeaders(): void {
		this.#leaderHints.clear();
	}

	/** Ends the calls in progress at their next failure. */
	stop(): void {
		this.#isStopped = true;
	}

	/**
	 * Calls the leader of a group, retrying until it responds or the deadline passes.
	 *
	 * @param deadlineMs - on the monotonic clock.
	 * @throws MarjoramcoveError of the last call; at once if another call would fail for the same reason.
	 */
	async callLeader<Output>(
		groupId: GroupId,
		path: string,
		input: unknown,
		deadlineMs: number,
	): Promise<Output> {
		let lastError: Error | undefined;
		while (performance.now() < deadlineMs && !this.#isStopped) {
			const leaderId = this.#findLeader(groupId);
			if (leaderId === undefined) {
				await sleep(RETRY_DELAY_MS);
				continue;
			}

			try {
				return await this.#peers.network.call<Output>(leaderId, path, input, {
					timeoutMs: Math.min(
						CALL_TIMEOUT_MS,
						Math.max(1, deadlineMs - performance.now()),
					),
				});
			} catch (error) {
				this.recordRetry(path, error);
				if (FINAL_REASONS.has(reasonOf(error))) {
					throw error;
				}

				lastError = error as Error;
				this.#updateLeaderHint(groupId, leaderId, error);
				await sleep(RETRY_DELAY_MS);
			}
		}

		throw (
			lastError ??
			new RefusedError(`Group ${groupId} has no leader.`, {
				reason: 'shard-unavailable',
				hint: 'Retry after a second.',
			})
		);
	}

	/**
	 * Calls the replica of a group in the zone of this daemon once.
	 *
	 * @returns `undefined` if there is no such replica, or if it did not answer.
	 */
	async callInSameZone<Output>(
		groupId: GroupId,
		path: string,
		input: unknown,
		timeoutMs: number,
	): Promise<Output | undefined> {
		const {zone} = this.#context.settings;
		const replica = this.#findReplicas(groupId).find(
			(member) => member.zone === zone && member.phase === 'ready',
		);
		if (!replica) {
			return undefined;
		}

		try {
			return await this.#peers.network.call<Output>(
				replica.daemonId,
				path,
				input,
				{timeoutMs},
			);
		} catch (error) {
			this.recordRetry(path, error);
			return undefined;
		}
	}

	/** Counts a failed call after which another one is made. */
	recordRetry(step: string, error: unknown): void {
		this.#context.retries.increment({step, reason: reasonOf(error)});
	}

	#findReplicas(groupId: GroupId): FleetMember[] {
		const {members, topics} = this.#context.view;
		return findShardReplicas(members, topics.shardMap, groupId);
	}

	#findLeader(groupId: GroupId): DaemonId | undefined {
		const {members} = this.#context.view;
		return (
			this.#leaderHints.get(groupId) ??
			findShardLeader(members, groupId) ??
			// Any replica can name the leader, often before the leader's report has arrived here.
			this.#chooseOtherReplica(groupId, undefined)
		);
	}

	#chooseOtherReplica(
		groupId: GroupId,
		failedId: DaemonId | undefined,
	): DaemonId | undefined {
		return chooseOtherReplica(
			this.#context.view.members,
			this.#findReplicas(groupId),
			failedId,
			Math.random(),
		);
	}

	/** Follows the leader named by a replica that does not lead; otherwise switches to another replica. */
	#updateLeaderHint(
		groupId: GroupId,
		leaderId: DaemonId,
		error: unknown,
	): void {
		const namedLeaderId =
			error instanceof MarjoramcoveError && error.reason === 'not-leader'
				? (error.data?.leaderId as DaemonId | undefined)
				: undefined;
		if (namedLeaderId !== undefined) {
			this.#leaderHints.set(groupId, namedLeaderId);
			return;
		}

		const nextId = this.#chooseOtherReplica(groupId, leaderId);
		if (nextId !== undefined) {
			this.#leaderHints.set(groupId, nextId);
		}
	}
}
