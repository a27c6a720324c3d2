import type {
	OpenWork,
	PolicySettings,
	RandomSource,
} from '@marjoramcove/scheduler';
import {DispatchQueue} from './dispatch-queue.ts';
import {type EngineModel, readStepMs} from './engine-model.ts';
import {EngineStandIn} from './engine-stand-in.ts';
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

/** Interval and delivery delay of load reports, delay and loss of cache events, detection of a loss. */
export const REPORT_INTERVAL_MS = 500;
const REPORT_DELAY_MS = 250;
const CACHE_EVENT_DELAY_MS = 500;
const CACHE_EVENT_LOSS = 0.05;
const ZONE_DELAY_MS = 0.5;
export const LOSS_DETECTION_MS = 1500;
const NO_ENGINE_RETRY_MS = 500;

/** The engines, their queues, and what the routers know of them. */
export class Fleet {
	readonly engines: Array<EngineStandIn<SimCall>>;
	readonly views: FleetView[];
	/** Load reports do not arrive while this holds. */
	reportsStale = false;
	/** Share of cache events that are lost. */
	cacheEventLoss = CACHE_EVENT_LOSS;
	/** Routers that are lost; their programs go through the next one. */
	readonly lostRouters = new Set<number>();
	readonly options: FleetOptions;
	readonly #clock: VirtualClock;
	readonly #open: OpenWork[];
	/** Queues by engine, or by engine and router. */
	readonly #queues: DispatchQueue[][];
	/** Cache that the routers expect for a chain. */
	readonly #expected = new Map<string, {engine: number; tokens: number}>();
	readonly #expectedPauseMs = new Map<string, number>();

	constructor(clock: VirtualClock, options: FleetOptions) {
		const {engines, routers, model, policy} = options;
		const positions = Array.from({length: engines}, (_, engine) => engine);
		this.options = options;
		this.#clock = clock;
		this.#open = positions.map(() => ({
			calls: 0,
			prefillTokens: 0,
			completionTokens: 0,
		}));
		this.views = Array.from({length: routers}, () => new FleetView(options));
		this.engines = positions.map(
			(engine) =>
				new EngineStandIn<SimCall>(clock, model, {
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

	/** Routes a call and queues or sends it. */
	send(call: SimCall): void {
		const {policy, random} = this.options;
		while (this.lostRouters.has(call.router)) {
			call.router = (call.router + 1) % this.views.length;
		}

		const view = this.views[call.router]!;
		view.nowMs = this.#clock.nowMs;
		const expected = this.#expected.get(call.chainKey);
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

		this.#place(call, engine, expected?.engine === engine ? cachedTokens : 0);
	}

	/** Sends the load reports of all engines. */
	report(): void {
		for (const [engine, open] of this.#open.entries()) {
			const cacheUsedTokens = this.engines[engine]!.cache.usedTokens;
			const report = {...open, cacheUsedTokens};
			const deliveries = this.views.map((view) => {
				view.nowMs = this.#clock.nowMs;
				return view.receiveReport(engine, report);
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

	/** Removes calls from queues and engines; they are sent again after the detection of the loss. */
	resendLost(calls: Iterable<SimCall>, detectionMs: number): void {
		for (const call of calls) {
			call.attempt++;
			this.#account(call, -1);
			this.#clock.after(detectionMs, () => {
				this.send(call);
			});
		}
	}

	/** Queues of an engine that the given dispatcher owns. */
	queuesOf(engine: number): DispatchQueue[] {
		return this.#queues[engine]!;
	}

	/** Forgets what the routers expect an engine to have cached. */
	forgetCache(engine: number): void {
		for (const [key, expected] of this.#expected) {
			if (expected.engine === engine) {
				this.#expected.delete(key);
			}
		}
	}

	/** Ends a chain before its last turn, or forgets one that is over. */
	endChain(chainKey: string): void {
		const expected = this.#expected.get(chainKey);
		if (expected) {
			this.#retain(expected.engine, chainKey, {programEnded: true});
		}

		this.#expected.delete(chainKey);
		this.#expectedPauseMs.delete(chainKey);
	}

	#place(call: SimCall, engine: number, cachedTokens: number): void {
		call.engine = engine;
		call.sentAtMs = this.#clock.nowMs;
		call.queued.queuedAtMs = this.#clock.nowMs;
		call.queued.cachedTokens = cachedTokens;
		call.work = {
			calls: 1,
			prefillTokens: call.promptTokens - cachedTokens,
			completionTokens: call.queued.expectedCompletionTokens,
		};
		this.#account(call, 1);
		const queues = this.#queues[engine]!;
		if (queues.length === 0) {
			this.#submit(call);
		} else {
			queues[call.router % queues.length]!.push(call, this.#clock.nowMs);
		}
	}

	#account(call: SimCall, sign: 1 | -1): void {
		this.views[call.router]!.record(call.engine, call.work, sign);
		const open = this.#open[call.engine]!;
		open.calls += sign;
		open.prefillTokens += sign * call.work.prefillTokens;
		open.completionTokens += sign * call.work.completionTokens;
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
				this.resendLost([call], LOSS_DETECTION_MS);
			}
		});
	}

	#finish(call: SimCall): void {
		const tokens = call.promptTokens + call.completionTokens;
		this.#account(call, -1);
		this.#recordDuration(call);
		this.#expected.set(call.chainKey, {engine: call.engine, tokens});
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
		const computed = call.promptTokens - call.hitTokens - call.importedTokens;
		const expectedMs =
			computed * prefillMsPerToken +
			call.completionTokens * readStepMs(this.options.model, slots);
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

	/** Looks again at the prefixes that have been idle for longest, while the cache is nearly full. */
	#exportOldest(engine: number): void {
		const looksPerCall = 8;
		let looks = 0;
		for (const key of this.engines[engine]!.cache.idleKeys()) {
			if (
				looks++ >= looksPerCall ||
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
			const expected = this.#expected.get(chainKey);
			if (expected?.engine === engine && expected.tokens > tokens) {
				expected.tokens = tokens;
			}
		});
	}
}
