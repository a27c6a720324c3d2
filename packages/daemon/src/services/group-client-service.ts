import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {backoffDelay} from '@marjoramcove/transport';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import {type DaemonContext, refusal} from '../daemon-context.ts';
import type {PeersService} from './peers-service.ts';

type LeaderCallOptions = {
	timeoutMs: number;
	/** Longest wait for one daemon; a frozen leader is given up after it. */
	attemptTimeoutMs?: number;
	channel?: 'control' | 'data';
};

const backoff = {initialMs: 20, maximumMs: 500};

/** Reasons after which the same call may succeed at another replica or a little later. */
const movableReasons = new Set([
	'not-leader',
	'peer-unreachable',
	'peer-queue-full',
	'peer-unknown',
	'group-unknown',
	'procedure-unknown',
	'configuration-lease-expired',
]);

/** Reasons with an unknown outcome; the called procedures are idempotent by their ids. */
const unknownReasons = new Set([
	'peer-timeout',
	'peer-link-lost',
	'commit-unknown',
]);

/**
 * A refusal says that this attempt did not run. An earlier attempt with an unknown outcome may still
 * arrive, unless the refusal is recorded.
 */
const withUnknownAttempt = (error: unknown): unknown =>
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

/** Calls the leader of a replicated group, wherever it is. */
export class GroupClientService extends Service {
	readonly #context: DaemonContext;
	readonly #leaders = new Map<GroupId, DaemonId>();
	readonly #replicas: DaemonId[];
	#peers!: PeersService;
	#next = 0;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		this.#replicas = context.settings.cluster.peers
			.filter((peer) => peer.state)
			.map((peer) => peer.daemonId);
		this.#next = Math.floor(Math.random() * this.#replicas.length);
	}

	override get name() {
		return 'group-client';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
	}

	override async stop() {
		// Holds nothing.
	}

	/** Leader of the group as far as this daemon knows. */
	leaderOf(groupId: GroupId): DaemonId | undefined {
		return this.#leaders.get(groupId);
	}

	/**
	 * Calls a procedure that is idempotent by the ids in its input, at the leader of the group.
	 * Refusals of another replica and unknown outcomes are retried until the timeout.
	 *
	 * @throws MarjoramcoveError with the last error; it is `not-run` only if no attempt may have run.
	 */
	async call<Output>(
		groupId: GroupId,
		path: string,
		input: unknown,
		{timeoutMs, attemptTimeoutMs = timeoutMs, channel}: LeaderCallOptions,
	): Promise<Output> {
		const {timing} = this.#context.settings;
		const deadlineMs = performance.now() + timeoutMs;
		let unknown: Error | undefined;
		let refusedSinceMs: number | undefined;
		for (let attempt = 0; ; attempt++) {
			const daemonId = this.#leaders.get(groupId) ?? this.#nextReplica();
			const leftMs = Math.max(1, deadlineMs - performance.now());
			try {
				const output = await this.#peers.call<Output>(daemonId, path, input, {
					timeoutMs: Math.min(leftMs, attemptTimeoutMs),
					channel,
				});
				this.#leaders.set(groupId, daemonId);
				return output;
			} catch (error) {
				const reason = reasonOf(error);
				if (!movableReasons.has(reason) && !unknownReasons.has(reason)) {
					throw unknown ? withUnknownAttempt(error) : error;
				}

				unknown = unknownReasons.has(reason) ? (error as Error) : unknown;
				this.#moveOn(groupId, error);
				const delayMs = backoffDelay(attempt, backoff, Math.random());
				const nowMs = performance.now();
				refusedSinceMs ??= nowMs;
				// Without a leader nothing runs, so the caller gets its refusal early and can go elsewhere.
				const isHopeless =
					!unknown && nowMs - refusedSinceMs > timing.requestTimeoutMs;
				if (isHopeless || nowMs + delayMs >= deadlineMs) {
					throw unknown ?? this.#noLeader(groupId, error);
				}

				this.#context.retries.increment({step: path, reason});
				await sleep(delayMs);
			}
		}
	}

	#moveOn(groupId: GroupId, error: unknown): void {
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
		this.#next = (this.#next + 1) % this.#replicas.length;
		return this.#replicas[this.#next]!;
	}

	#noLeader(groupId: GroupId, cause: unknown): MarjoramcoveError {
		return refusal(
			'no-leader',
			`No leader of group ${groupId} was reached (${reasonOf(cause)}).`,
			'Retry after a leader has been elected.',
		);
	}
}
