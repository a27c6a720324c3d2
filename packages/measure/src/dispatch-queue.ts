import {
	type CallerService,
	createCallerService,
	estimateWorkMs,
	type InFlightLoad,
	readService,
	readTuning,
	recordService,
	type PolicySettings,
} from '@marjoramcove/scheduler';
import type {Policy} from './policy.ts';
import type {SimCall} from './sim-call.ts';

/** Queue of a dispatcher for one engine, which keeps at most `slots` calls in flight. */
export class DispatchQueue {
	/** No call is sent while the dispatcher or its engine has failed. */
	paused = false;
	readonly #slots: number;
	readonly #cacheCapacityTokens: number;
	readonly #policy: Policy;
	readonly #settings: PolicySettings;
	readonly #send: (call: SimCall) => void;
	readonly #inFlight = new Set<SimCall>();
	#callerService: CallerService = createCallerService();
	#waiting: SimCall[] = [];

	constructor(
		{slots, cacheCapacityTokens}: {slots: number; cacheCapacityTokens: number},
		{policy, settings}: {policy: Policy; settings: PolicySettings},
		send: (call: SimCall) => void,
	) {
		this.#slots = slots;
		this.#cacheCapacityTokens = cacheCapacityTokens;
		this.#policy = policy;
		this.#settings = settings;
		this.#send = send;
	}

	push(call: SimCall, nowMs: number): void {
		this.#waiting.push(call);
		this.dispatchWaiting(nowMs);
	}

	finish(call: SimCall, nowMs: number): void {
		this.#inFlight.delete(call);
		this.dispatchWaiting(nowMs);
	}

	/** Removes and returns all calls, as a failure of the dispatcher or of its engine does. */
	clear(): SimCall[] {
		const calls = [...this.#waiting, ...this.#inFlight];
		this.#waiting = [];
		this.#inFlight.clear();
		return calls;
	}

	/** Sends waiting calls while the engine has capacity for the next one. */
	dispatchWaiting(nowMs: number): void {
		while (
			!this.paused &&
			this.#waiting.length > 0 &&
			this.#inFlight.size < this.#slots &&
			this.#sendNext(nowMs)
		) {
			// Each iteration sends one call.
		}
	}

	#sendNext(nowMs: number): boolean {
		let minServiceMs = Number.POSITIVE_INFINITY;
		for (const {queued} of this.#waiting) {
			queued.callerServiceMs = readService(
				this.#callerService,
				queued.callerId,
			);
			minServiceMs = Math.min(minServiceMs, queued.callerServiceMs);
		}

		const queue = this.#waiting.map(({queued}) => queued);
		const index = queue.indexOf(this.#policy.pick(queue, nowMs)!);
		const call = this.#waiting[index]!;
		if (!this.#policy.hasCapacity(this.#computeLoad(), call.queued)) {
			return false;
		}

		this.#waiting.splice(index, 1);
		const workMs = estimateWorkMs(call.work, readTuning(this.#settings));
		this.#callerService = recordService(
			this.#callerService,
			call.queued.callerId,
			workMs,
			minServiceMs,
		);
		this.#inFlight.add(call);
		this.#send(call);
		return true;
	}

	#computeLoad(): InFlightLoad {
		let inFlightTokens = 0;
		for (const {queued} of this.#inFlight) {
			inFlightTokens += queued.promptTokens + queued.expectedCompletionTokens;
		}

		return {
			slots: this.#slots,
			inFlight: this.#inFlight.size,
			inFlightTokens,
			cacheCapacityTokens: this.#cacheCapacityTokens,
		};
	}
}
