import type {EngineMemory} from './engine-memory.ts';
import type {EngineOptions} from './engine-options.ts';
import type {EngineStream} from './engine-stream.ts';
import {generateToken} from './generate-text.ts';

const STEP_MS = 5;

/**
 * Simulates continuous batching in real time. Up to `slots` calls run concurrently and share the prefill
 * rate, while each decodes at its own rate. Further calls wait in FIFO order.
 */
export class EngineBatch {
	readonly #options: EngineOptions;
	readonly #memory: EngineMemory;
	#waiting: EngineStream[] = [];
	#running: EngineStream[] = [];
	#timer: NodeJS.Timeout | undefined;
	#lastStepMs = 0;

	constructor(options: EngineOptions, memory: EngineMemory) {
		this.#options = options;
		this.#memory = memory;
	}

	get load(): {running: number; waiting: number} {
		return {running: this.#running.length, waiting: this.#waiting.length};
	}

	add(stream: EngineStream): void {
		this.#waiting.push(stream);
		if (!this.#timer) {
			this.#lastStepMs = performance.now();
			this.#timer = setInterval(() => {
				this.#step();
			}, STEP_MS);
		}
	}

	cancel(stream: EngineStream): void {
		this.#waiting = this.#waiting.filter((candidate) => candidate !== stream);
		if (this.#running.includes(stream)) {
			this.#finish(stream, 'cancelled');
		} else if (stream.state === 'waiting') {
			stream.state = 'cancelled';
			this.#notify(stream);
		}
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
		this.#waiting = [];
		this.#running = [];
	}

	#step(): void {
		const nowMs = performance.now();
		const elapsedSeconds = (nowMs - this.#lastStepMs) / 1000;
		this.#lastStepMs = nowMs;
		while (
			this.#running.length < this.#options.slots &&
			this.#waiting.length > 0
		) {
			this.#admit(this.#waiting.shift()!);
		}

		let prefillTokens = elapsedSeconds * this.#options.prefillTokensPerSecond;
		for (const stream of this.#running) {
			const computed = Math.min(prefillTokens, stream.remainingPrefillTokens);
			prefillTokens -= computed;
			stream.remainingPrefillTokens -= computed;
			if (stream.remainingPrefillTokens <= 0) {
				this.#decode(stream, elapsedSeconds);
			}
		}

		if (this.#running.length === 0 && this.#waiting.length === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	#admit(stream: EngineStream): void {
		stream.state = 'running';
		stream.cachedTokens = Math.min(
			stream.promptTokens,
			this.#memory.cachedTokens(stream.prompt),
		);
		stream.remainingPrefillTokens =
			stream.promptTokens + stream.prefixTokens - stream.cachedTokens;
		if (stream.programId !== undefined) {
			this.#memory.beginCall(stream.programId);
		}

		this.#running.push(stream);
	}

	#decode(stream: EngineStream, elapsedSeconds: number): void {
		stream.dueTokens += elapsedSeconds * this.#options.decodeTokensPerSecond;
		let generated = stream.prefixTokens + stream.text.length / 4;
		while (stream.dueTokens >= 1 && generated < stream.totalTokens) {
			stream.dueTokens--;
			stream.text += generateToken(
				stream.prompt,
				generated++,
				this.#options.salt,
			);
		}

		if (generated >= stream.totalTokens) {
			this.#finish(stream, 'done');
		} else {
			this.#notify(stream);
		}
	}

	#finish(stream: EngineStream, state: 'done' | 'cancelled'): void {
		stream.state = state;
		this.#running = this.#running.filter((candidate) => candidate !== stream);
		if (stream.programId !== undefined) {
			this.#memory.endCall(stream.programId);
			this.#memory.store(stream.programId, `${stream.prompt}\n${stream.text}`);
		}

		this.#notify(stream);
	}

	#notify(stream: EngineStream): void {
		for (const listener of stream.listeners) {
			listener.update(stream);
		}
	}
}
