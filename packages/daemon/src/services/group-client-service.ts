import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {backoffDelay} from '@marjoramcove/transport';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';

type LeaderCallOptions = {
	timeoutMs: number;
	/** Timeout of one attempt, after which a leader that does not respond is abandoned. */
	attemptTimeoutMs?: number;
	channel?: 'control' | 'data';
};

const backoff = {initialMs: 20, maximumMs: 500};

/** Reasons after which the same call may succeed at another replica or shortly after. */
const retryableReasons = new Set([
	'not-leader',
	'peer-unreachable',
	'peer-queue-full',
	'peer-unknown',
	'group-unknown',
	'procedure-unknown',
	'configuration-lease-expired',
]);

/** Reasons that leave the outcome unknown. Calls are repeated after them, because their ids make them idempotent. */
const unknownOutcomeReasons = new Set([
	'peer-timeout',
	'peer-link-lost',
	'commit-unknown',
]);

/**
 * Changes the verdict of a refusal from `not-run` to `may-have-run`, because an earlier attempt with an
 * unknown outcome may still arrive. A refusal that is recorded holds for all attempts and stays as it is.
 */
const markMayHaveRun = (error: unknown): unknown =>
	error instanceof MarjoramcoveError &&
	error.verdict === 'not-run' &&
	error.data?.isRecorded !== true
		? new MarjoramcoveError(error.message, {
				reason: error.reason,
				verdict: 'may-have-run',
				hint: 'Look up the outcome by the id of the request.',
				data: error.data,
			})
		: error;

/** Finds and calls the leader of a replicated group. */
export class GroupClientService extends Service {
	readonly #context: DaemonContext;
	readonly #leaders = new Map<GroupId, DaemonId>();
	readonly #replicas: DaemonId[];
	#peers!: PeersService;
	#replicaIndex = 0;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		this.#replicas = context.settings.cluster.peers
			.filter((peer) => peer.state)
			.map((peer) => peer.daemonId);
		this.#replicaIndex = Math.floor(Math.random() * this.#replicas.length);
	}

	override get name() {
		return 'group-client';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
	}

	override async stop() {
		// No resources to release.
	}

	/** Last known leader of the group; undefined when none is known. */
	leaderOf(groupId: GroupId): DaemonId | undefined {
		return this.#leaders.get(groupId);
	}

	/**
	 * Calls a procedure of the group's leader. The ids in the input must make the procedure idempotent.
	 * Unknown outcomes, and refusals after which another replica may accept the call, are retried until the
	 * timeout.
	 *
	 * @throws MarjoramcoveError the last error, with the verdict `not-run` only if no attempt can have run.
	 */
	async call<Output>(
		groupId: GroupId,
		path: string,
		input: unknown,
		{timeoutMs, attemptTimeoutMs = timeoutMs, channel}: LeaderCallOptions,
	): Promise<Output> {
		const {timing} = this.#context.settings;
		const deadlineMs = performance.now() + timeoutMs;
		let unknownOutcomeError: Error | undefined;
		let refusedSinceMs: number | undefined;
		for (let attempt = 0; ; attempt++) {
			const daemonId = this.#leaders.get(groupId) ?? this.#nextReplica();
			const remainingMs = Math.max(1, deadlineMs - performance.now());
			try {
				const output = await this.#peers.call<Output>(daemonId, path, input, {
					timeoutMs: Math.min(remainingMs, attemptTimeoutMs),
					channel,
				});
				this.#leaders.set(groupId, daemonId);
				return output;
			} catch (error) {
				const reason = reasonOf(error);
				if (
					!retryableReasons.has(reason) &&
					!unknownOutcomeReasons.has(reason)
				) {
					throw unknownOutcomeError ? markMayHaveRun(error) : error;
				}

				unknownOutcomeError = unknownOutcomeReasons.has(reason)
					? (error as Error)
					: unknownOutcomeError;
				this.#updateLeader(groupId, error);
				const delayMs = backoffDelay(attempt, backoff, Math.random());
				const nowMs = performance.now();
				refusedSinceMs ??= nowMs;
				// Without a leader no attempt runs, so refuse early and let the caller try another daemon.
				const shouldRefuseEarly =
					!unknownOutcomeError &&
					nowMs - refusedSinceMs > timing.requestTimeoutMs;
				if (shouldRefuseEarly || nowMs + delayMs >= deadlineMs) {
					throw unknownOutcomeError ?? this.#noLeaderError(groupId, error);
				}

				this.#context.retries.increment({step: path, reason});
				await sleep(delayMs);
			}
		}
	}

	#updateLeader(groupId: GroupId, error: unknown): void {
		const leaderId =
			error instanceof MarjoramcoveError && error.reason === 'not-leader'
				? error.data?.leaderId
				: undefined;
		if (typeof leaderId === 'string') {
			this.#leaders.set(groupId, asId<DaemonId>(leaderId));
		} else {
			this.#leaders.delete(groupId);
		}
	}

	#nextReplica(): DaemonId {
		this.#replicaIndex = (this.#replicaIndex + 1) % this.#replicas.length;
		return this.#replicas[this.#replicaIndex]!;
	}

	#noLeaderError(groupId: GroupId, cause: unknown): MarjoramcoveError {
		return createRefusedError(
			'no-leader',
			`No leader of group ${groupId} was reached (${reasonOf(cause)}).`,
			'Retry after a leader has been elected.',
		);
	}
}
