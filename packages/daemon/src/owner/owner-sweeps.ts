import {messageOf, reasonOf} from '@marjoramcove/errors';
import {
	type CancelledCall,
	isExpiryDue,
	type OpenCallDescription,
	openCarves,
	openIntents,
	pendingReleases,
	pendingReturns,
	type ProgramResult,
	type ProgramsState,
} from '@marjoramcove/programs';
import type {ProgramId, UpstreamId} from '@marjoramcove/types';
import PQueue from 'p-queue';
import {Agent, request} from 'undici';
import {type AcceptInput, attemptKey} from '../call-contracts.ts';
import {shardGroup} from '../services/replication-service.ts';
import type {CallRecovery} from './call-recovery.ts';
import {type CopyHolder, parseCopyHolder} from './copy-holder.ts';
import {type OwnerCore} from './owner-core.ts';

/** Age from which an open call without progress reports is checked at its dispatcher. */
const checkAfterMs = 3000;
/** Age from which an open call is checked whose dispatcher is not a live member any more. */
const goneAfterMs = 1000;
/** Age from which a carved budget without a sub-agent is given back. */
const carveCheckMs = 30_000;
const releaseTimeoutMs = 2000;
/** Link timeouts after which a lost attempt that nobody reported is continued without a reader. */
const abandonedLinkTimeouts = 2;
/** Longest time for which the log of a shard with programs carries no new time. */
const clockEntryIntervalMs = 60_000;
const longestReleaseDelayMs = 10_000;

type ReleaseAttempt = {count: number; nextMs: number};

/** Periodic work of an owner for the shards that it leads. */
export class OwnerSweeps {
	readonly #core: OwnerCore;
	readonly #recovery: CallRecovery;
	readonly #inputs: ReadonlyMap<string, AcceptInput>;
	readonly #agent = new Agent({connections: 4});
	readonly #releases = new PQueue({concurrency: 16});
	readonly #releaseAttempts = new Map<string, ReleaseAttempt>();
	readonly #checkedMs = new Map<string, number>();
	/** Time since which an attempt is known to be lost, by attempt. */
	readonly #lostSinceMs = new Map<string, number>();
	readonly #carvesSeenMs = new Map<ProgramId, number>();
	#running = false;

	constructor(
		core: OwnerCore,
		recovery: CallRecovery,
		inputs: ReadonlyMap<string, AcceptInput>,
	) {
		this.#core = core;
		this.#recovery = recovery;
		this.#inputs = inputs;
	}

	async stop(): Promise<void> {
		this.#releases.clear();
		await this.#agent.destroy();
	}

	/** Runs once over all led shards; a run that is still going on is not started again. */
	async run(): Promise<void> {
		if (this.#running) {
			return;
		}

		this.#running = true;
		try {
			for (const shard of this.#core.replication.shards.keys()) {
				await this.#sweepShard(shard);
			}
		} finally {
			this.#running = false;
		}
	}

	/** Tells dispatchers that calls were cancelled, so that they stop the engines. */
	async cancel(calls: readonly CancelledCall[]): Promise<void> {
		await Promise.all(
			calls.map(async ({programId, requestId, intent, reason}) => {
				try {
					await this.#core.peers.call(
						intent.dispatcherId,
						'dispatch.cancel',
						{
							programId,
							requestId,
							attempt: intent.attempt,
							dispatcherIncarnation: intent.dispatcherIncarnation,
							reason,
						},
						{timeoutMs: 2000},
					);
				} catch (error) {
					this.#core.context.logger.debug({
						event: 'cancel-not-delivered',
						programId,
						reason: reasonOf(error),
					});
				}
			}),
		);
	}

	/**
	 * Releases what a hold names: the memory of a program at an engine, or an exported copy. An engine
	 * that is not registered holds none.
	 */
	async deleteMemory(
		programId: ProgramId,
		upstreamId: UpstreamId,
	): Promise<void> {
		const holder = parseCopyHolder(upstreamId);
		if (holder) {
			await this.#dropCopy(programId, holder);
			return;
		}

		const upstream = this.#core.upstreams.lookUp(upstreamId);
		if (upstream?.spec.type !== 'engine') {
			return;
		}

		const {statusCode, body} = await request(
			`${upstream.spec.address}/v1/kv/${encodeURIComponent(programId)}`,
			{
				method: 'DELETE',
				dispatcher: this.#agent,
				headersTimeout: releaseTimeoutMs,
				bodyTimeout: releaseTimeoutMs,
				signal: AbortSignal.timeout(releaseTimeoutMs),
			},
		);
		await body.dump();
		if (statusCode !== 200 && statusCode !== 404) {
			throw new Error(`The engine answered ${statusCode}.`);
		}
	}

	/** A copy ends with its process; one that was only cut off compares its copies with the owners. */
	async #dropCopy(
		programId: ProgramId,
		{daemonId, incarnation}: CopyHolder,
	): Promise<void> {
		const {members, hasLease} = this.#core.configuration;
		if (hasLease && members.get(daemonId)?.incarnation !== incarnation) {
			return;
		}

		await this.#core.peers.call(
			daemonId,
			'dispatch.dropCopy',
			{programId},
			{timeoutMs: releaseTimeoutMs},
		);
	}

	async #sweepShard(shard: number): Promise<void> {
		const groupId = shardGroup(shard);
		if (!this.#core.replication.leadership(groupId).isLeader) {
			return;
		}

		try {
			await this.#core.replication.ensureLeader(groupId);
			const {state} = this.#core.replication.shards[shard]!;
			await this.#expire(state, shard);
			await this.#checkIntents(state);
			this.#release(state);
			await this.#returnBudgets(state);
			await this.#checkCarves(state);
		} catch (error) {
			this.#core.context.logger.debug({
				event: 'sweep-interrupted',
				groupId,
				reason: reasonOf(error),
				error: messageOf(error),
			});
		}
	}

	/** Proposes an expiry only when something is due, so that idle shards write no log. */
	async #expire(state: ProgramsState, shard: number): Promise<void> {
		const nowMs = this.#core.shardTimeMs(shard);
		const {endedProgramRetentionMs} = this.#core.context.settings.limits;
		// A replica that restarts learns the time from the log, so the log must not stand still for long.
		const isDue =
			isExpiryDue(state, nowMs, endedProgramRetentionMs) ||
			(state.programs.size > 0 &&
				nowMs - state.clockMs >= clockEntryIntervalMs);
		if (!isDue) {
			return;
		}

		const result = await this.#core.replication.propose<ProgramResult>(
			shardGroup(shard),
			{type: 'expire-programs', nowMs, endedProgramRetentionMs},
		);
		if (result.outcome === 'expired') {
			await this.cancel(result.cancelled);
		}
	}

	async #checkIntents(state: ProgramsState): Promise<void> {
		const nowMs = this.#core.shardTimeMs(state.shard);
		const {members, hasLease} = this.#core.configuration;
		const suspects = openIntents(state, nowMs - goneAfterMs).filter((call) => {
			const key = attemptKey({...call, attempt: call.intent.attempt});
			const isGone =
				hasLease &&
				members.get(call.dispatcherId)?.incarnation !==
					call.dispatcherIncarnation;
			const seenMs = this.#checkedMs.get(key) ?? call.attemptAtMs;
			const isDue = nowMs - seenMs > (isGone ? goneAfterMs : checkAfterMs);
			if (isDue) {
				this.#checkedMs.set(key, nowMs);
			}

			return isDue;
		});
		if (this.#checkedMs.size > 10_000) {
			this.#checkedMs.clear();
			this.#lostSinceMs.clear();
		}

		await Promise.all(
			suspects.map(async (call) => {
				const input = this.#inputs.get(`${call.programId}:${call.requestId}`);
				if (!call.idempotent) {
					await this.#recovery.settleLost(call);
				} else if (input && (await this.#isAbandoned(call))) {
					await this.#continueCall(input, call.intent.attempt);
				}
			}),
		);
	}

	/**
	 * Whether an attempt has been lost for so long that its entry daemon must be gone as well. A live
	 * one reports the loss within the link timeout, together with the text that it has delivered; a
	 * retry without that text would give the caller an answer that does not continue it.
	 */
	async #isAbandoned(call: OpenCallDescription): Promise<boolean> {
		const key = attemptKey({...call, attempt: call.intent.attempt});
		if (!(await this.#recovery.isLost(call))) {
			this.#lostSinceMs.delete(key);
			return false;
		}

		const nowMs = performance.now();
		const sinceMs = this.#lostSinceMs.get(key) ?? nowMs;
		this.#lostSinceMs.set(key, sinceMs);
		const {linkTimeoutMs} = this.#core.context.settings.timing;
		return nowMs - sinceMs > abandonedLinkTimeouts * linkTimeoutMs;
	}

	/** Recovers a call whose entry daemon may be gone; the dispatcher then runs without a reader. */
	async #continueCall(input: AcceptInput, attempt: number): Promise<void> {
		const state = await this.#recovery.recover(input, attempt, '');
		if (state.status === 'granted') {
			await this.#core.peers.call(
				state.grant.dispatcherId,
				'dispatch.start',
				{grant: state.grant, payload: state.payload},
				{timeoutMs: 5000},
			);
		}
	}

	#release(state: ProgramsState): void {
		const nowMs = performance.now();
		for (const pending of pendingReleases(state).slice(0, 1000)) {
			const key = `${pending.programId} ${pending.upstreamId}`;
			const attempt = this.#releaseAttempts.get(key) ?? {count: 0, nextMs: 0};
			if (nowMs >= attempt.nextMs) {
				const delayMs = Math.min(
					longestReleaseDelayMs,
					1000 * 2 ** attempt.count,
				);
				this.#releaseAttempts.set(key, {
					count: attempt.count + 1,
					nextMs: nowMs + delayMs,
				});
				void this.#releases.add(async () => this.#releaseOne(pending, key));
			}
		}
	}

	async #releaseOne(
		pending: {programId: ProgramId; upstreamId: UpstreamId; heldTurn: number},
		key: string,
	): Promise<void> {
		const {programId, upstreamId, heldTurn} = pending;
		try {
			await this.deleteMemory(programId, upstreamId);
			await this.#core.commit(programId, {
				type: 'record-release',
				nowMs: this.#core.commandTimeMs(programId),
				programId,
				upstreamId,
				heldTurn,
			});
			this.#releaseAttempts.delete(key);
		} catch (error) {
			this.#core.context.retries.increment({
				step: 'release',
				reason: reasonOf(error),
			});
			this.#core.context.logger.debug({
				event: 'release-not-confirmed',
				programId,
				upstream: upstreamId,
				error: messageOf(error),
			});
		}
	}

	async #returnBudgets(state: ProgramsState): Promise<void> {
		for (const pending of pendingReturns(state).slice(0, 100)) {
			await this.#core.groups.call(
				this.#core.groupOf(pending.programId),
				'programs.returnBudget',
				pending,
				{timeoutMs: 2000},
			);
			await this.#core.commit(pending.childId, {
				type: 'record-return',
				nowMs: this.#core.commandTimeMs(pending.childId),
				programId: pending.childId,
			});
		}
	}

	/** Ends sub-agents of ended programs and gives back budgets whose sub-agent was never opened. */
	async #checkCarves(state: ProgramsState): Promise<void> {
		const nowMs = performance.now();
		const carves = openCarves(state);
		const open = new Set(carves.map(({childId}) => childId));
		for (const childId of this.#carvesSeenMs.keys()) {
			if (!open.has(childId)) {
				this.#carvesSeenMs.delete(childId);
			}
		}

		for (const {programId, childId, parentEnded} of carves) {
			const seenMs = this.#carvesSeenMs.get(childId) ?? nowMs;
			this.#carvesSeenMs.set(childId, seenMs);
			const isOld = nowMs - seenMs > carveCheckMs;
			if (isOld) {
				this.#carvesSeenMs.set(childId, nowMs);
			}

			if (parentEnded || isOld) {
				await this.#core.groups.call(
					this.#core.groupOf(childId),
					'programs.checkChild',
					{programId: childId, parentId: programId, parentEnded, isOld},
					{timeoutMs: 2000},
				);
			}
		}
	}
}
