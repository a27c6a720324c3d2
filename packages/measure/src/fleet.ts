import type {
	OpenWork,
	PolicySettings,
	RandomSource,
} from '@marjoramcove/scheduler';
import {DispatchQueue} from './dispatch-queue.ts';
import {type EngineModel, computeStepMs} from './engine-model.ts';
import {SimulatedEngine} from './simulated-engine.ts';
import {FleetView} from './fleet-view.ts';
import type {Policy} from './policy.ts';
import type {SimCall} from './sim-call.ts';
import type {VirtualClock} from './virtual-clock.ts';

export type FleetOptions = {
	engines: number;
	zones: number;
	routers: number;
	model: EngineModel;
	policy: Policy;
	settings: PolicySettings;
	random: RandomSource;
};

/** Interval and delivery delay of load reports, delay and loss rate of cache events, and time to detect a failure. */
export const REPORT_INTERVAL_MS = 500;
const REPORT_DELAY_MS = 250;
const CACHE_EVENT_DELAY_MS = 500;
const CACHE_EVENT_LOSS = 0.05;
const ZONE_DELAY_MS = 0.5;
export const FAILURE_DETECTION_MS = 1500;
const NO_ENGINE_RETRY_MS = 500;

/** Simulated engines with their dispatch queues and the routers' views of them. */
export class Fleet {
	readonly engines: Array<SimulatedEngine<SimCall>>;
	readonly views: FleetView[];
	/** While true, load reports are not delivered. */
	reportsStale = false;
	/** Share of cache events that are lost. */
	cacheEventLoss = CACHE_EVENT_LOSS;
	/** Failed routers; their programs use the next router. */
	readonly failedRouters = new Set<number>();
	readonly options: FleetOptions;
	readonly #clock: VirtualClock;
	readonly #openWork: OpenWork[];
	/** Queues by engine, or by engine and router. Empty when calls wait in the engine. */
	readonly #queues: DispatchQueue[][];
	/** Engine and number of cached tokens that the routers expect for each chain. */
	readonly #expectedCache = new Map<string, {engine: number; tokens: number}>();
	readonly #expectedPauseMs = new Map<string, number>();

	constructor(clock: VirtualClock, options: FleetOptions) {
		const {engines, routers, model, policy} = options;
		const positions = Array.from({length: engines}, (_, engine) => engine);
		this.options = options;
		this.#clock = clock;
		this.#openWork = positions.map(() => ({
			calls: 0,
			prefillTokens: 0,
			completionTokens: 0,
		}));
		this.views = Array.from({length: routers}, () => new FleetView(options));
		this.engines = positions.map(
			(engine) =>
				new SimulatedEngine<SimCall>(clock, model, {
					onDone: (call) => {
						this.#finish(call);
					},
					onEvict: (chainKey, tokens) => {
						this.#reportEviction(engine, chainKey, tokens);
					},
				}),
		);
		const shares = policy.queueing === 'independent' ? routers : 1;
		const share = {
			slots: Math.floor((model.slots * policy.slotsFactor) / shares),
			cacheCapacityTokens: model.cacheCapacityTokens / shares,
		};
		this.#queues = positions.map(() =>
			Array.from(
				{length: policy.queueing === 'engine' ? 0 : shares},
				() =>
					new DispatchQueue(share, options, (call) => {
						this.#submit(call);
					}),
			),
		);
	}

	/** Routes a call, then queues it or submits it to the engine. */
	send(call: SimCall): void {
		const {policy, random} = this.options;
		while (this.failedRouters.has(call.router)) {
			call.router = (call.router + 1) % this.views.length;
		}

		const view = this.views[call.router]!;
		view.nowMs = this.#clock.nowMs;
		const expected = this.#expectedCache.get(call.chainKey);
		const cachedTokens = Math.min(expected?.tokens ?? 0, call.historyTokens);
		const engine = policy.route({
			request: {
				programId: call.queued.programId,
				promptTokens: call.promptTokens,
				expectedCompletionTokens: call.queued.expectedCompletionTokens,
				zone: view.view(call.router % view.count, 0).zone,
				previousUpstreamId: expected && view.idOf(expected.engine),
				deadlineMs: call.queued.deadlineMs,
				turn: call.queued.turn,
			},
			cachedEngine: expected?.engine,
			cachedTokens,
			router: call.router,
			view,
			nowMs: this.#clock.nowMs,
			random,
		});
		if (engine === undefined) {
			this.#clock.after(NO_ENGINE_RETRY_MS, () => {
				this.send(call);
			});
			return;
		}

		this.#assign(call, engine, expected?.engine === engine ? cachedTokens : 0);
	}

	/** Sends the load reports of all engines. */
	report(): void {
		for (const [engine, openWork] of this.#openWork.entries()) {
			const cacheUsedTokens = this.engines[engine]!.cache.usedTokens;
			const report = {...openWork, cacheUsedTokens};
			const deliveries = this.views.map((view) => {
				view.nowMs = this.#clock.nowMs;
				return view.prepareReport(engine, report);
			});
			if (!this.reportsStale) {
				this.#clock.after(REPORT_DELAY_MS, () => {
					for (const deliver of deliveries) {
						deliver();
					}
				});
			}
		}
	}

	/** Subtracts lost calls from the recorded load and sends them again once the failure is detected. */
	resendLost(calls: Iterable<SimCall>, detectionMs: number): void {
		for (const call of calls) {
			call.attempt++;
			this.#recordWork(call, -1);
			this.#clock.after(detectionMs, () => {
				this.send(call);
			});
		}
	}

	/** Dispatch queues of an engine. */
	queuesOf(engine: number): DispatchQueue[] {
		return this.#queues[engine]!;
	}

	/** Removes the routers' expectations of what an engine has cached. */
	invalidateCache(engine: number): void {
		for (const [key, expected] of this.#expectedCache) {
			if (expected.engine === engine) {
				this.#expectedCache.delete(key);
			}
		}
	}

	/** Ends a chain, applies the retention policy to its prefix and removes its cache state. */
	endChain(chainKey: string): void {
		const expected = this.#expectedCache.get(chainKey);
		if (expected) {
			this.#retain(expected.engine, chainKey, {programEnded: true});
		}

		this.#expectedCache.delete(chainKey);
		this.#expectedPauseMs.delete(chainKey);
	}

	#assign(call: SimCall, engine: number, cachedTokens: number): void {
		call.engine = engine;
		call.sentAtMs = this.#clock.nowMs;
		call.queued.queuedAtMs = this.#clock.nowMs;
		call.queued.cachedTokens = cachedTokens;
		call.work = {
			calls: 1,
			prefillTokens: call.promptTokens - cachedTokens,
			completionTokens: call.queued.expectedCompletionTokens,
		};
		this.#recordWork(call, 1);
		const queues = this.#queues[engine]!;
		if (queues.length === 0) {
			this.#submit(call);
		} else {
			queues[call.router % queues.length]!.push(call, this.#clock.nowMs);
		}
	}

	#recordWork(call: SimCall, sign: 1 | -1): void {
		this.views[call.router]!.recordWork(call.engine, call.work, sign);
		const openWork = this.#openWork[call.engine]!;
		openWork.calls += sign;
		openWork.prefillTokens += sign * call.work.prefillTokens;
		openWork.completionTokens += sign * call.work.completionTokens;
	}

	#submit(call: SimCall): void {
		const {attempt} = call;
		call.submittedAtMs = this.#clock.nowMs;
		this.#clock.after(ZONE_DELAY_MS, () => {
			const engine = this.engines[call.engine]!;
			if (call.attempt !== attempt) {
				return;
			}

			if (engine.alive) {
				engine.submit(call);
			} else {
				this.resendLost([call], FAILURE_DETECTION_MS);
			}
		});
	}

	#finish(call: SimCall): void {
		const tokens = call.promptTokens + call.completionTokens;
		this.#recordWork(call, -1);
		this.#recordDuration(call);
		this.#expectedCache.set(call.chainKey, {engine: call.engine, tokens});
		this.#expectedPauseMs.set(call.chainKey, call.expectedPauseMs);
		this.#retain(call.engine, call.chainKey, {
			programEnded: call.isLastOfChain,
		});
		this.#exportOldest(call.engine);
		const queues = this.#queues[call.engine]!;
		queues[call.router % queues.length]?.finish(call, this.#clock.nowMs);
		call.finish();
	}

	#recordDuration(call: SimCall): void {
		const {prefillMsPerToken, slots} = this.options.model;
		const prefillTokens =
			call.promptTokens - call.hitTokens - call.importedTokens;
		const expectedMs =
			prefillTokens * prefillMsPerToken +
			call.completionTokens * computeStepMs(this.options.model, slots);
		const actualMs = this.#clock.nowMs - call.submittedAtMs;
		const view = this.views[call.router]!;
		view.recordDuration(call.engine, actualMs / expectedMs);
	}

	#retain(
		engine: number,
		chainKey: string,
		state: {programEnded: boolean; nextToEvict?: boolean},
	): boolean {
		const {cache} = this.engines[engine]!;
		const decision = this.options.policy.retain({
			cachedTokens: cache.idleTokens(chainKey),
			expectedPauseMs: this.#expectedPauseMs.get(chainKey),
			...state,
			cacheUsedTokens: cache.usedTokens,
			cacheCapacityTokens: cache.capacityTokens,
			exportFreeTokens: cache.hostFreeTokens,
		});
		if (decision === 'drop') {
			cache.drop(chainKey, this.#clock.nowMs);
		} else if (decision === 'export') {
			cache.export(chainKey);
		}

		return decision === 'export';
	}

	/** Offers the prefixes that have been idle the longest for export, which the policy does while the cache is nearly full. */
	#exportOldest(engine: number): void {
		const maxChecks = 8;
		let checks = 0;
		for (const key of this.engines[engine]!.cache.idleKeys()) {
			if (
				checks++ >= maxChecks ||
				!this.#retain(engine, key, {programEnded: false, nextToEvict: true})
			) {
				return;
			}
		}
	}

	#reportEviction(engine: number, chainKey: string, tokens: number): void {
		if (this.options.random() < this.cacheEventLoss) {
			return;
		}

		this.#clock.after(CACHE_EVENT_DELAY_MS, () => {
			const expected = this.#expectedCache.get(chainKey);
			if (expected?.engine === engine && expected.tokens > tokens) {
				expected.tokens = tokens;
			}
		});
	}
}
