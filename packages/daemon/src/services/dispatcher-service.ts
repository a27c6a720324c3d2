import {messageOf, reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import type {UpstreamResource} from '@marjoramcove/configuration';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {QueuedCall} from '@marjoramcove/scheduler';
import type {UpstreamId} from '@marjoramcove/types';
import * as z from 'zod';
import {
	assumedCompletionTokens,
	attemptKey,
	attemptSchema,
	type AttemptReference,
	type AttemptStatus,
	type CallPayload,
	type Grant,
} from '../call-contracts.ts';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
import {AttemptSettler} from '../dispatcher/attempt-settler.ts';
import {CallRun} from '../dispatcher/call-run.ts';
import {ClosedAttempts} from '../dispatcher/closed-attempts.ts';
import {EngineQueue} from '../dispatcher/engine-queue.ts';
import {CopyManager} from '../dispatcher/copy-manager.ts';
import {reconcileEngineMemory} from '../dispatcher/memory-reconciler.ts';
import type {AttemptEnd} from '../dispatcher/run-model-call.ts';
import {UpstreamClient} from '../dispatcher/upstream-client.ts';
import type {ConfigurationService} from './configuration-service.ts';
import type {GroupClientService} from './group-client-service.ts';
import type {PeersService} from './peers-service.ts';
import type {UpstreamsService} from './upstreams-service.ts';

const dispatchSchema = z.object({
	grant: z.custom<Grant>((value) => typeof value === 'object'),
	payload: z.custom<CallPayload>((value) => typeof value === 'object'),
	fromOffset: z.int().default(0),
	/** Minimum time between two chunks. */
	coalesceMs: z.number().min(0).max(1000).default(0),
});

/** Time for which a finished run is retained for readers that attach late. */
const finishedRunRetentionMs = 60_000;
const sweepIntervalMs = 5000;

/** Queues calls per upstream, sends each granted attempt at most once, streams its answer and settles it. */
export class DispatcherService extends Service {
	readonly #context: DaemonContext;
	readonly #runs = new Map<string, CallRun>();
	readonly #closedAttempts = new ClosedAttempts(sweepIntervalMs);

	readonly #caller: UpstreamClient;
	readonly #queues = new Map<UpstreamId, EngineQueue>();
	readonly #copies: CopyManager;

	#configuration!: ConfigurationService;
	#upstreams!: UpstreamsService;
	#groups!: GroupClientService;
	#settler!: AttemptSettler;
	#timers: NodeJS.Timeout[] = [];

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		this.#caller = new UpstreamClient(context);
		this.#copies = new CopyManager(context, this.#caller);
	}

	override get name() {
		return 'dispatcher';
	}

	override async start(kernel: ServiceDirectory) {
		this.#configuration = kernel.get<ConfigurationService>('configuration');
		this.#upstreams = kernel.get<UpstreamsService>('upstreams');
		this.#groups = kernel.get<GroupClientService>('group-client');
		this.#settler = new AttemptSettler({
			context: this.#context,
			groups: this.#groups,
			upstreams: this.#upstreams,
		});
		this.#serve(kernel.get<PeersService>('peers'));
		this.#copies.serve(kernel.get<PeersService>('peers'), this.#upstreams);
		this.#timers = [
			setInterval(() => {
				this.#removeOldRuns();
			}, sweepIntervalMs),
			setInterval(() => {
				void this.#reconcileMemory();
			}, this.#context.settings.timing.memoryReconcileMs),
		];
		this.#configuration.loadSources.push(() => ({runs: this.activeRuns}));
	}

	override async stop() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#caller.stop();
	}

	/** Waits until all accepted attempts have settled. */
	override async drain() {
		while (this.activeRuns > 0) {
			await sleep(50);
		}
	}

	/** Number of attempts that have not finished. */
	get activeRuns(): number {
		let count = 0;
		for (const run of this.#runs.values()) {
			count += run.isFinished ? 0 : 1;
		}

		return count;
	}

	#serve(peers: PeersService): void {
		peers.handleStream('dispatch.run', dispatchSchema, (input, signal) =>
			this.#findOrStartRun(input.grant, input.payload).read(
				input.fromOffset,
				signal,
				input.coalesceMs,
			),
		);
		peers.handle('dispatch.start', dispatchSchema, async (input) => {
			this.#findOrStartRun(input.grant, input.payload);
			return {started: true};
		});
		peers.handle(
			'dispatch.status',
			z.object({attempts: z.array(attemptSchema)}),
			async ({attempts}) => ({
				incarnation: this.#context.incarnation,
				statuses: attempts.map((attempt) => this.#statusOf(attempt)),
			}),
		);
		peers.handle('dispatch.discard', attemptSchema, async (attempt) => ({
			discarded: this.#discard(attempt),
		}));
		peers.handle(
			'dispatch.cancel',
			attemptSchema.extend({reason: z.string()}),
			async (attempt) => this.#cancel(attempt, attempt.reason),
		);
	}

	#statusOf(attempt: AttemptReference): AttemptStatus {
		const key = attemptKey(attempt);
		return (
			this.#runs.get(key)?.status ??
			this.#closedAttempts.statusOf(key) ??
			'unknown'
		);
	}

	/** Ensures that an attempt is never sent; returns false when it has been sent or cannot be discarded. */
	#discard(attempt: AttemptReference): boolean {
		if (attempt.dispatcherIncarnation !== this.#context.incarnation) {
			return false;
		}

		const key = attemptKey(attempt);
		const run = this.#runs.get(key);
		const status =
			run?.status ?? this.#closedAttempts.statusOf(key) ?? 'queued';
		if (status !== 'queued' && status !== 'discarded') {
			return false;
		}

		this.#closedAttempts.close(
			key,
			'discarded',
			run?.grant.idempotent ?? false,
		);
		run?.finish('discarded', {type: 'lost', reason: 'grant-discarded'});
		return true;
	}

	#cancel(attempt: AttemptReference, reason: string): {cancelled: boolean} {
		const key = attemptKey(attempt);
		const run = this.#runs.get(key);
		this.#closedAttempts.close(key, 'lost', run?.grant.idempotent ?? false);
		if (!run || run.isFinished) {
			return {cancelled: false};
		}

		run.finish('lost', {type: 'lost', reason});
		run.abortController.abort();
		return {cancelled: true};
	}

	/**
	 * Returns the run of a grant, and starts it unless it exists.
	 *
	 * @throws RefusedError when the grant is for another incarnation, closed or expired.
	 */
	#findOrStartRun(grant: Grant, payload: CallPayload): CallRun {
		const key = attemptKey(grant);
		const known = this.#runs.get(key);
		if (known) {
			return known;
		}

		if (grant.dispatcherIncarnation !== this.#context.incarnation) {
			throw this.#createRefusal(
				'dispatcher-restarted',
				'The dispatcher has restarted since the grant was issued.',
			);
		}

		if (this.#closedAttempts.statusOf(key)) {
			throw this.#createRefusal(
				'grant-discarded',
				'The attempt of this grant is already closed.',
			);
		}

		if (grant.timeoutMs <= 0) {
			throw this.#createRefusal(
				'grant-expired',
				'The deadline of the call has passed.',
			);
		}

		const run = new CallRun({grant, payload});
		this.#runs.set(key, run);
		void this.#enqueue(run);
		return run;
	}

	#createRefusal(reason: string, message: string) {
		this.#context.refusals.increment({reason});
		return createRefusedError(
			reason,
			message,
			'Report the attempt as lost to its owner.',
		);
	}

	async #enqueue(run: CallRun): Promise<void> {
		const {grant} = run;
		const upstream = this.#upstreams.lookUp(grant.upstreamId);
		const limit = this.#context.settings.limits.queuedCallsPerEngine;
		try {
			if (!upstream || this.#upstreams.isLeaving(grant.upstreamId)) {
				await this.#settler.finishUnsent(run, 'upstream-leaving');
				return;
			}

			const queue = this.#queueOf(upstream);
			if (queue.waiting >= limit) {
				await this.#settler.finishUnsent(run, 'engine-queue-full');
				return;
			}

			const end = await queue.run(toQueuedCall(grant), async () =>
				this.#send(run, upstream),
			);
			// The slot is already free here: committing the outcome does not occupy it.
			if (end) {
				await this.#settler.finish(run, upstream, end);
			}
		} catch (error) {
			this.#context.logger.error({
				event: 'dispatch-failed',
				programId: grant.programId,
				requestId: grant.requestId,
				error: messageOf(error),
			});
			run.finish('lost', {type: 'lost', reason: reasonOf(error)});
		}
	}

	async #send(
		run: CallRun,
		upstream: UpstreamResource,
	): Promise<AttemptEnd | undefined> {
		if (!run.isFinished) {
			await this.#copies.restore(run, upstream);
		}

		if (run.isFinished) {
			return undefined;
		}

		// The call may have waited long or the process may have been suspended, so check everything again.
		const nowMs = performance.now();
		if (nowMs >= run.deadlineMs) {
			await this.#settler.finishUnsent(run, run.grant.timeoutReason);
			return undefined;
		}

		if (this.#upstreams.isLeaving(upstream.name)) {
			await this.#settler.finishUnsent(run, 'upstream-leaving');
			return undefined;
		}

		this.#context.steps.record(nowMs - run.receivedMs, {step: 'queue'});
		run.status = 'sent';
		const end = await this.#caller.call(run, upstream);
		run.upstreamMs = performance.now() - nowMs;
		this.#context.steps.record(run.upstreamMs, {step: run.grant.kind});
		return end;
	}

	#queueOf({name, spec}: UpstreamResource): EngineQueue {
		let queue = this.#queues.get(name);
		if (!queue) {
			queue = new EngineQueue(
				spec.slots,
				this.#context.settings.policy,
				() => this.#upstreams.load(name).kvCapacityTokens,
			);
			this.#queues.set(name, queue);
		}

		queue.setSlots(spec.slots);
		return queue;
	}

	#removeOldRuns(): void {
		const nowMs = performance.now();
		for (const [key, run] of this.#runs) {
			if (nowMs - run.finishedMs > finishedRunRetentionMs) {
				this.#runs.delete(key);
				this.#closedAttempts.close(key, run.status, run.grant.idempotent);
			}
		}

		this.#closedAttempts.sweep();
	}

	/** Releases memory that engines hold for programs that have ended or are unknown. */
	async #reconcileMemory(): Promise<void> {
		await this.#copies.reconcile(this.#groups);
		const {daemonId} = this.#context.settings;
		const engines = this.#configuration.view.upstreams.filter(
			({name, spec}) =>
				spec.type === 'engine' &&
				this.#upstreams.dispatcherOf(name) === daemonId,
		);
		for (const engine of engines) {
			try {
				await reconcileEngineMemory({
					engine,
					dispatcher: this.#caller.agentOf(engine),
					groups: this.#groups,
					shardCount: this.#context.settings.cluster.shardCount,
				});
			} catch (error) {
				this.#context.retries.increment({
					step: 'reconcile-memory',
					reason: reasonOf(error),
				});
			}
		}
	}
}

const toQueuedCall = (grant: Grant): QueuedCall => ({
	programId: grant.programId,
	callerId: grant.callerId,
	requestId: grant.requestId,
	queuedAtMs: performance.now(),
	attainedTokens: grant.attainedTokens,
	promptTokens: grant.promptTokens,
	cachedTokens: grant.cachedTokens,
	expectedCompletionTokens: Math.min(assumedCompletionTokens, grant.maxTokens),
	turn: grant.turn,
	priority: grant.priority,
});
