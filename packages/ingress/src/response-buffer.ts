/** Maximum size of one buffered response. */
export const MAX_BUFFERED_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Maximum size of all responses that a daemon buffers at the same time. */
export const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/**
 * Memory that the buffered responses of a daemon share, so that several servers that send without end
 * cannot exhaust it together.
 *
 * @example
 * ```ts
 * const memory = new BufferMemory(MAX_BUFFERED_BYTES);
 * memory.tryReserve(1000); // true
 * memory.release(1000);
 * ```
 */
export class BufferMemory {
	readonly #limitBytes: number;
	#usedBytes = 0;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** @returns `false`, without reserving anything, if the limit would be exceeded. */
	tryReserve(sizeBytes: number): boolean {
		if (this.#usedBytes + sizeBytes > this.#limitBytes) {
			return false;
		}

		this.#usedBytes += sizeBytes;
		return true;
	}

	release(sizeBytes: number): void {
		this.#usedBytes -= sizeBytes;
	}
}

/**
 * Collects bytes of one response within the limits of a response and of the daemon.
 *
 * @example
 * ```ts
 * const buffer = new ResponseBuffer(memory);
 * if (!buffer.push(chunk)) {
 *   exchange.cancel();
 * }
 *
 * const body = this.read();
 * ```
 */
export class ResponseBuffer {
	readonly #memory: BufferMemory;
	readonly #limitBytes: number;
	#chunks: Uint8Array[] = [];
	#sizeBytes = 0;

	constructor(memory: BufferMemory, limitBytes = MAX_BUFFERED_RESPONSE_BYTES) {
		this.#memory = memory;
		this.#limitBytes = limitBytes;
	}

	/** @returns `false` if the chunk exceeds a limit; it is then not kept. */
	push(chunk: Uint8Array): boolean {
		const isWithinLimits =
			this.#sizeBytes + chunk.length <= this.#limitBytes &&
			this.#memory.tryReserve(chunk.length);
		if (isWithinLimits) {
			this.#sizeBytes += chunk.length;
			this.#chunks.push(chunk);
		}

		return isWithinLimits;
	}

	/** Returns the collected bytes, which stay in the buffer. */
	read(): Buffer {
		return Buffer.concat(this.#chunks);
	}

	/** Returns the collected bytes and frees their share of the memory. */
	take(): Buffer {
		const body = this.read();
		this.discard();
		return body;
	}

	/** Drops the collected bytes and frees their share of the memory; repeated calls have no effect. */
	discard(): void {
		this.#memory.release(this.#sizeBytes);
		this.#sizeBytes = 0;
		this.#chunks = [];
	}
}
