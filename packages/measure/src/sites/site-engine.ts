import type {VirtualClock} from '../virtual-clock.ts';
import {PartCache} from './part-cache.ts';

/** Speeds and sizes of an engine with chunked prefill. */
export type SiteEngineModel = {
	/** Requests in one batch; further ones wait in the order of their arrival. */
	slots: number;
	/** Time of one step, in which every generating request gets a token. */
	stepMs: number;
	stepPerRequestMs: number;
	stepPerThousandContextTokensMs: number;
	prefillTokensPerMs: number;
	/** Cost of a million pairs of a read token and a token before it. */
	pairsMsPerMillion: number;
	/** Time before a request is admitted to a batch. */
	firstMs: number;
	/** Prompt tokens that are read in one step, beside the generating requests. */
	chunkTokens: number;
	capacityTokens: number;
};

/** A request as an engine sees it. */
export type SiteEngineRequest = {
	/** Parts of the prompt, in their order. */
	parts: ReadonlyArray<{id: string; tokens: number}>;
	outputTokens: number;
	onFirstToken: () => void;
	onDone: () => void;
};

type Running = {
	request: SiteEngineRequest;
	release: () => void;
	unreadTokens: number;
	contextTokens: number;
	outputLeftTokens: number;
};

/** An engine that batches continuously, reads prompts in chunks and keeps parts of prompts. */
export class SiteEngine {
	/** Prompt tokens that were read, and those of them that another engine, or this one, had read before. */
	readTokens = 0;
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

	/** Requests that run or wait. */
	get load(): number {
		return this.#running.length + this.#waiting.length;
	}

	submit(request: SiteEngineRequest): void {
		this.#clock.after(this.#model.firstMs, () => {
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
			const taken = this.#cache.take(request.parts, request.outputTokens);
			if (!taken) {
				return;
			}

			this.#waiting.shift();
			this.readTokens += taken.missingTokens;
			this.#running.push({
				request,
				release: taken.release,
				// At least one token is read, which gives the first one of the answer.
				unreadTokens: Math.max(1, taken.missingTokens),
				contextTokens: taken.promptTokens - taken.missingTokens,
				outputLeftTokens: request.outputTokens,
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
		const reads = this.#planReads();
		this.#clock.after(this.#stepMs(reads), () => {
			this.#isStepping = false;
			this.#finishStep(reads);
			this.#startStep();
		});
	}

	/** Gives the chunk of a step to the requests that are being read, in the order of admission. */
	#planReads(): Map<Running, number> {
		const reads = new Map<Running, number>();
		let leftTokens = this.#model.chunkTokens;
		for (const run of this.#running) {
			if (run.unreadTokens > 0 && leftTokens > 0) {
				const tokens = Math.min(run.unreadTokens, leftTokens);
				reads.set(run, tokens);
				leftTokens -= tokens;
			}
		}

		return reads;
	}

	#stepMs(reads: ReadonlyMap<Running, number>): number {
		const model = this.#model;
		let contextTokens = 0;
		for (const run of this.#running) {
			contextTokens += run.contextTokens;
		}

		let timeMs =
			model.stepMs +
			model.stepPerRequestMs * this.#running.length +
			(model.stepPerThousandContextTokensMs * contextTokens) / 1000;
		for (const [run, tokens] of reads) {
			timeMs +=
				tokens / model.prefillTokensPerMs +
				(model.pairsMsPerMillion * tokens * run.contextTokens) / 1_000_000;
		}

		return timeMs;
	}

	#finishStep(reads: ReadonlyMap<Running, number>): void {
		const left: Running[] = [];
		for (const run of this.#running) {
			const readTokens = reads.get(run);
			if (readTokens !== undefined) {
				run.unreadTokens -= readTokens;
				run.contextTokens += readTokens;
			}

			if (run.unreadTokens === 0) {
				this.#generate(run);
			}

			if (run.outputLeftTokens > 0) {
				left.push(run);
			} else {
				run.release();
				run.request.onDone();
			}
		}

		this.#running = left;
	}

	#generate(run: Running): void {
		if (run.outputLeftTokens === run.request.outputTokens) {
			run.request.onFirstToken();
		}

		run.outputLeftTokens--;
		run.contextTokens++;
	}
}
