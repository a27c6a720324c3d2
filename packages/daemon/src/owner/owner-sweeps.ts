import {messageOf, reasonOf} from '@marjoramcove/errors';
import {
	type CancelledCall,
	isExpiryDue,
	type OpenCallDescription,
	openChildBudgets,
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

/** Time after the start or the last check of an attempt until it is checked at its dispatcher. */
const checkAfterMs = 3000;
/** The same for an attempt whose dispatcher is no longer a live member. */
const checkDepartedAfterMs = 1000;
/** Age after which a child budget is returned if its sub-agent was never opened. */
const childBudgetCheckMs = 30_000;
const releaseTimeoutMs = 2000;
/** Link timeouts after which a lost attempt that was not reported is continued without a reader. */
const abandonedAfterLinkTimeouts = 2;
/** Maximum time between timestamps in the log of a shard that has programs. */
const clockEntryIntervalMs = 60_000;
const maxReleaseDelayMs = 10_000;

type ReleaseBackoff = {count: number; nextAtMs: number};

/** Periodic maintenance of the shards that this owner leads. */
export class OwnerSweeps {
	readonly #core: OwnerCore;
	readonly #recovery: CallRecovery;
	readonly #inputs: ReadonlyMap<string, AcceptInput>;
	readonly #agent = new Agent({connections: 4});
	readonly #releaseQueue = new PQueue({concurrency: 16});
	readonly #releaseBackoffs = new Map<string, ReleaseBackoff>();
	readonly #checkedAtMs = new Map<string, number>();
	/** When an attempt was first found lost, by attempt key. */
	readonly #lostSinceMs = new Map<string, number>();
	readonly #childBudgetsSeenAtMs = new Map<ProgramId, number>();
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
		this.#releaseQueue.clear();
		await this.#agent.destroy();
	}

	/** Runs one sweep over all led shards; does nothing while another sweep is running. */
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

	/** Notifies dispatchers of cancelled calls, so that they stop the work at the engines. */
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
	 * Releases what a hold refers to: the memory of a program at an engine, or an exported copy. An engine
	 * that is not registered has no memory to release.
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
			throw new Error(
				`The engine answered the release of program memory with status ${statusCode}.`,
			);
		}
	}

	/**
	 * Drops an exported copy. A copy is lost when its process ends, so an ended process needs no request;
	 * a process that was only disconnected reconciles its copies with the owners.
	 */
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
			this.#startReleases(state);
			await this.#returnBudgets(state);
			await this.#checkChildBudgets(state);
		} catch (error) {
			this.#core.context.logger.debug({
				event: 'sweep-interrupted',
				groupId,
				reason: reasonOf(error),
				error: messageOf(error),
			});
		}
	}

	/** Proposes an expiry only when something is due, so that idle shards write no log entries. */
	async #expire(state: ProgramsState, shard: number): Promise<void> {
		const nowMs = this.#core.shardTimeMs(shard);
		const {endedProgramRetentionMs} = this.#core.context.settings.limits;
		// A restarted replica takes the time from the log, so the log needs a recent timestamp.
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
		const callsToCheck = openIntents(
			state,
			nowMs - checkDepartedAfterMs,
		).filter((call) => {
			const key = attemptKey({...call, attempt: call.intent.attempt});
			const isDeparted =
				hasLease &&
				members.get(call.dispatcherId)?.incarnation !==
					call.dispatcherIncarnation;
			const seenAtMs = this.#checkedAtMs.get(key) ?? call.attemptAtMs;
			const isDue =
				nowMs - seenAtMs > (isDeparted ? checkDepartedAfterMs : checkAfterMs);
			if (isDue) {
				this.#checkedAtMs.set(key, nowMs);
			}

			return isDue;
		});
		if (this.#checkedAtMs.size > 10_000) {
			this.#checkedAtMs.clear();
			this.#lostSinceMs.clear();
		}

		await Promise.all(
			callsToCheck.map(async (call) => {
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
	 * Whether an attempt has been lost for so long that its entry daemon must be gone as well. A live entry
	 * daemon reports the loss within the link timeout, with the text that it has delivered; a retry without
	 * that text would give the caller an answer that does not continue it.
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
		return nowMs - sinceMs > abandonedAfterLinkTimeouts * linkTimeoutMs;
	}

	/** Recovers a call whose entry daemon may be gone; its dispatcher then runs it without a reader. */
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

	#startReleases(state: ProgramsState): void {
		const nowMs = performance.now();
		for (const pending of pendingReleases(state).slice(0, 1000)) {
			const key = `${pending.programId} ${pending.upstreamId}`;
			const attempt = this.#releaseBackoffs.get(key) ?? {count: 0, nextAtMs: 0};
			if (nowMs >= attempt.nextAtMs) {
				const delayMs = Math.min(maxReleaseDelayMs, 1000 * 2 ** attempt.count);
				this.#releaseBackoffs.set(key, {
					count: attempt.count + 1,
					nextAtMs: nowMs + delayMs,
				});
				void this.#releaseQueue.add(async () => this.#release(pending, key));
			}
		}
	}

	async #release(
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
			this.#releaseBackoffs.delete(key);
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

	/** Ends sub-agents of ended programs and returns child budgets whose sub-agent was never opened. */
	async #checkChildBudgets(state: ProgramsState): Promise<void> {
		const nowMs = performance.now();
		const childBudgets = openChildBudgets(state);
		const open = new Set(childBudgets.map(({childId}) => childId));
		for (const childId of this.#childBudgetsSeenAtMs.keys()) {
			if (!open.has(childId)) {
				this.#childBudgetsSeenAtMs.delete(childId);
			}
		}

		for (const {programId, childId, parentEnded} of childBudgets) {
			const seenAtMs = this.#childBudgetsSeenAtMs.get(childId) ?? nowMs;
			this.#childBudgetsSeenAtMs.set(childId, seenAtMs);
			const isOld = nowMs - seenAtMs > childBudgetCheckMs;
			if (isOld) {
				this.#childBudgetsSeenAtMs.set(childId, nowMs);
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
