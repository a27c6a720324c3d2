/**
 * Collects the chunks of a body. One buffer of the announced length holds them, since chunks that wait to be
 * joined would need twice the memory.
 */
export class BodyCollector {
	readonly #lengthBytes: number | undefined;
	readonly #chunks: Buffer[] = [];
	#buffer: Buffer | undefined;
	#sizeBytes = 0;

	constructor(lengthBytes: number | undefined) {
		this.#lengthBytes = lengthBytes;
	}

	get sizeBytes(): number {
		return this.#sizeBytes;
	}

	/** Memory that a chunk needs until the body is joined. */
	costOf(chunk: Buffer): number {
		return this.#lengthBytes === undefined ? chunk.length * 2 : chunk.length;
	}

	push(chunk: Buffer): void {
		if (this.#lengthBytes === undefined || chunk.length === this.#lengthBytes) {
			this.#chunks.push(chunk);
		} else {
			this.#buffer ??= Buffer.allocUnsafeSlow(this.#lengthBytes);
			chunk.copy(this.#buffer, this.#sizeBytes);
		}

		this.#sizeBytes += chunk.length;
	}

	/** Returns the complete body. */
	toBuffer(): Buffer {
		return (
			this.#buffer ??
			(this.#chunks.length === 1
				? this.#chunks[0]!
				: Buffer.concat(this.#chunks))
		);
	}
}
