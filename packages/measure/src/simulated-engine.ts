import {type EngineModel, computeStepMs} from './engine-model.ts';
import {PrefixCache, type EvictionListener} from './prefix-cache.ts';
import type {VirtualClock} from './virtual-clock.ts';

/** One model call as submitted to an engine. */
export type EngineCall = {
	chainKey: string;
	/** Prompt tokens that an earlier call of the chain has already processed. */
	historyTokens: number;
	promptTokens: number;
	completionTokens: number;
	/** Set by the engine. */
	hitTokens: number;
	importedTokens: number;
};

type Running<Call> = {call: Call; prefillMs: number; targetTokens: number};

/** Simulates an engine with continuous batching: calls are admitted in order of arrival and share the engine time. */
export class SimulatedEngine<Call extends EngineCall> {
	readonly model: EngineModel;
	readonly cache: PrefixCache;
	alive = true;
	readonly #clock: VirtualClock;
	readonly #onDone: (call: Call) => void;
	#speed = 1;
	#waiting: Call[] = [];
	#prefilling: Array<Running<Call>> = [];
	#decoding: Array<Running<Call>> = [];
	/** Decode steps since the start of the engine; each one generates a token for every decoding call. */
	#generatedTokens = 0;
	#updatedAtMs = 0;
	#scheduleVersion = 0;

	constructor(
		clock: VirtualClock,
		model: EngineModel,
		listeners: {onDone: (call: Call) => void; onEvict: EvictionListener},
	) {
		this.#clock = clock;
		this.model = model;
		this.#onDone = listeners.onDone;
		this.cache = new PrefixCache(
			model.cacheCapacityTokens,
			model.hostCapacityTokens,
			listeners.onEvict,
		);
	}

	setSpeed(speed: number): void {
		this.#advance();
		this.#speed = speed;
		this.#schedule();
	}

	submit(call: Call): void {
		this.#advance();
		this.#waiting.push(call);
		this.#admitWaiting();
		this.#schedule();
	}

	/** Cancels the calls that match and frees their memory. */
	cancel(matches: (call: Call) => boolean): Call[] {
		this.#advance();
		const cancelled = this.#waiting.filter((call) => matches(call));
		this.#waiting = this.#waiting.filter((call) => !matches(call));
		for (const {call, targetTokens} of [
			...this.#prefilling,
			...this.#decoding,
		]) {
			if (matches(call)) {
				cancelled.push(call);
				this.#keepPrefix(call, targetTokens > 0);
			}
		}

		this.#prefilling = this.#prefilling.filter(({call}) => !matches(call));
		this.#decoding = this.#decoding.filter(({call}) => !matches(call));
		this.#admitWaiting();
		this.#schedule();
		return cancelled;
	}

	/** Stops the engine and returns the lost calls. */
	fail(): Call[] {
		this.alive = false;
		const lost = this.cancel(() => true);
		this.cache.clear(this.#clock.nowMs);
		return lost;
	}

	/** Keeps the prefix of a cancelled call in the cache and frees the rest of its memory. */
	#keepPrefix(call: Call, isDecoding: boolean): void {
		const keptTokens = isDecoding
			? call.promptTokens
			: call.hitTokens + call.importedTokens;
		this.cache.free(call.promptTokens + call.completionTokens - keptTokens);
		this.cache.release(call.chainKey, keptTokens, this.#clock.nowMs);
	}

	#timeShares(): {prefill: number; decode: number} {
		if (this.#prefilling.length === 0) {
			return {prefill: 0, decode: this.#speed};
		}

		const prefill = this.#decoding.length === 0 ? 1 : this.model.prefillShare;
		return {
			prefill: prefill * this.#speed,
			decode: (1 - prefill) * this.#speed,
		};
	}

	#advance(): void {
		const elapsedMs = this.#clock.nowMs - this.#updatedAtMs;
		this.#updatedAtMs = this.#clock.nowMs;
		const shares = this.#timeShares();
		if (this.#prefilling[0]) {
			this.#prefilling[0].prefillMs -= elapsedMs * shares.prefill;
		}

		if (this.#decoding.length > 0) {
			this.#generatedTokens +=
				(elapsedMs * shares.decode) /
				computeStepMs(this.model, this.#decoding.length);
		}
	}

	#admitWaiting(): void {
		const {prefillMsPerToken, transferMsPerToken, maxBatch} = this.model;
		while (
			this.#waiting.length > 0 &&
			this.#prefilling.length + this.#decoding.length < maxBatch
		) {
			const call = this.#waiting[0]!;
			const totalTokens = call.promptTokens + call.completionTokens;
			const reserved = this.cache.reserve(
				call.chainKey,
				{historyTokens: call.historyTokens, totalTokens},
				this.#clock.nowMs,
			);
			if (!reserved) {
				return;
			}

			this.#waiting.shift();
			Object.assign(call, reserved);
			if (this.model.perfectCache) {
				call.hitTokens = call.historyTokens;
				call.importedTokens = 0;
			}

			const prefillTokens =
				call.promptTokens - call.hitTokens - call.importedTokens;
			const prefillMs =
				prefillTokens * prefillMsPerToken +
				call.importedTokens * transferMsPerToken;
			this.#prefilling.push({call, prefillMs, targetTokens: 0});
		}
	}

	/** Schedules the next event: the end of the first prefill or of the shortest decode. */
	#schedule(): void {
		const version = ++this.#scheduleVersion;
		const shares = this.#timeShares();
		let delayMs = Number.POSITIVE_INFINITY;
		if (this.#prefilling[0] && shares.prefill > 0) {
			delayMs = this.#prefilling[0].prefillMs / shares.prefill;
		}

		if (this.#decoding.length > 0 && shares.decode > 0) {
			const target = Math.min(
				...this.#decoding.map((item) => item.targetTokens),
			);
			const stepMs =
				computeStepMs(this.model, this.#decoding.length) / shares.decode;
			delayMs = Math.min(delayMs, (target - this.#generatedTokens) * stepMs);
		}

		if (delayMs !== Number.POSITIVE_INFINITY) {
			this.#clock.after(delayMs, () => {
				if (version === this.#scheduleVersion) {
					this.#step();
				}
			});
		}
	}

	#step(): void {
		this.#advance();
		const roundingMs = 1e-6;
		while (this.#prefilling[0] && this.#prefilling[0].prefillMs <= roundingMs) {
			const item = this.#prefilling.shift()!;
			item.targetTokens = this.#generatedTokens + item.call.completionTokens;
			this.#decoding.push(item);
		}

		const isDone = ({targetTokens}: Running<Call>) =>
			targetTokens <= this.#generatedTokens + roundingMs;
		const finished = this.#decoding.filter((item) => isDone(item));
		this.#decoding = this.#decoding.filter((item) => !isDone(item));
		for (const {call} of finished) {
			this.cache.release(
				call.chainKey,
				call.promptTokens + call.completionTokens,
				this.#clock.nowMs,
			);
		}

		this.#admitWaiting();
		this.#schedule();
		for (const {call} of finished) {
			this.#onDone(call);
		}
	}
}
