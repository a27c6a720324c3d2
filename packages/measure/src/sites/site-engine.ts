import type {VirtualClock} from '../virtual-clock.ts';
import {PartCache} from './part-cache.ts';

/** Cost model and capacities of an engine with chunked prefill. */
export type SiteEngineModel = {
	/** Maximum requests in one batch; further requests wait in order of arrival. */
	slots: number;
	/** Base time of one step, in which every decoding request generates a token. */
	stepMs: number;
	stepPerRequestMs: number;
	stepPerThousandContextTokensMs: number;
	prefillTokensPerMs: number;
	/** Attention cost of a million pairs of a prefilled token and a token before it. */
	attentionMsPerMillionPairs: number;
	/** Time before a request is admitted to a batch. */
	admissionMs: number;
	/** Prompt tokens that are prefilled in one step, alongside the decoding requests. */
	chunkTokens: number;
	capacityTokens: number;
};

/** A request as submitted to an engine. */
export type SiteEngineRequest = {
	/** Parts of the prompt, in order. */
	parts: ReadonlyArray<{id: string; tokens: number}>;
	outputTokens: number;
	onFirstToken: () => void;
	onDone: () => void;
};

type Running = {
	request: SiteEngineRequest;
	release: () => void;
	pendingPrefillTokens: number;
	contextTokens: number;
	remainingOutputTokens: number;
};

/** Simulates an engine with continuous batching, chunked prefill and a cache of prompt parts. */
export class SiteEngine {
	/** Prompt tokens that were prefilled, including tokens that this or another engine had prefilled before. */
	prefilledTokens = 0;
	readonly #clock: VirtualClock;
	readonly #model: SiteEngineModel;
	readonly #cache: PartCache;
	readonly #waiting: SiteEngineRequest[] = [];
	#running: Running[] = [];
	#isStepping = false;

	constructor(clock: VirtualClock, model: SiteEngineModel) {
		this.#clock = clock;
		this.#model = model;
		this.#cache = new PartCache(model.capacityTokens);
	}

	/** Number of running and waiting requests. */
	get load(): number {
		return this.#running.length + this.#waiting.length;
	}

	submit(request: SiteEngineRequest): void {
		this.#clock.after(this.#model.admissionMs, () => {
			this.#waiting.push(request);
			this.#startStep();
		});
	}

	#admit(): void {
		while (
			this.#waiting.length > 0 &&
			this.#running.length < this.#model.slots
		) {
			const request = this.#waiting[0]!;
			const reservation = this.#cache.reserve(
				request.parts,
				request.outputTokens,
			);
			if (!reservation) {
				return;
			}

			this.#waiting.shift();
			this.prefilledTokens += reservation.uncachedTokens;
			this.#running.push({
				request,
				release: reservation.release,
				// At least one prompt token is prefilled, to generate the first output token.
				pendingPrefillTokens: Math.max(1, reservation.uncachedTokens),
				contextTokens: reservation.promptTokens - reservation.uncachedTokens,
				remainingOutputTokens: request.outputTokens,
			});
		}
	}

	#startStep(): void {
		if (this.#isStepping) {
			return;
		}

		this.#admit();
		if (this.#running.length === 0) {
			return;
		}

		this.#isStepping = true;
		const prefills = this.#planPrefill();
		this.#clock.after(this.#computeStepMs(prefills), () => {
			this.#isStepping = false;
			this.#finishStep(prefills);
			this.#startStep();
		});
	}

	/** Divides the prefill chunk of a step among the requests in prefill, in order of admission. */
	#planPrefill(): Map<Running, number> {
		const prefills = new Map<Running, number>();
		let remainingTokens = this.#model.chunkTokens;
		for (const run of this.#running) {
			if (run.pendingPrefillTokens > 0 && remainingTokens > 0) {
				const tokens = Math.min(run.pendingPrefillTokens, remainingTokens);
				prefills.set(run, tokens);
				remainingTokens -= tokens;
			}
		}

		return prefills;
	}

	#computeStepMs(prefills: ReadonlyMap<Running, number>): number {
		const model = this.#model;
		let contextTokens = 0;
		for (const run of this.#running) {
			contextTokens += run.contextTokens;
		}

		let timeMs =
			model.stepMs +
			model.stepPerRequestMs * this.#running.length +
			(model.stepPerThousandContextTokensMs * contextTokens) / 1000;
		for (const [run, tokens] of prefills) {
			timeMs +=
				tokens / model.prefillTokensPerMs +
				(model.attentionMsPerMillionPairs * tokens * run.contextTokens) /
					1_000_000;
		}

		return timeMs;
	}

	#finishStep(prefills: ReadonlyMap<Running, number>): void {
		const unfinished: Running[] = [];
		for (const run of this.#running) {
			const chunkTokens = prefills.get(run);
			if (chunkTokens !== undefined) {
				run.pendingPrefillTokens -= chunkTokens;
				run.contextTokens += chunkTokens;
			}

			if (run.pendingPrefillTokens === 0) {
				this.#decode(run);
			}

			if (run.remainingOutputTokens > 0) {
				unfinished.push(run);
			} else {
				run.release();
				run.request.onDone();
			}
		}

		this.#running = unfinished;
	}

	#decode(run: Running): void {
		if (run.remainingOutputTokens === run.request.outputTokens) {
			run.request.onFirstToken();
		}

		run.remainingOutputTokens--;
		run.contextTokens++;
	}
}
