type Change = {position: number; bytes: Uint8Array} | {sizeBytes: number};

/** Bytes that grow like a file. */
class GrowingBytes {
	#buffer = Buffer.alloc(0);
	#sizeBytes = 0;

	get sizeBytes() {
		return this.#sizeBytes;
	}

	get bytes() {
		return this.#buffer.subarray(0, this.#sizeBytes);
	}

	apply(change: Change) {
		if ('sizeBytes' in change) {
			this.#grow(change.sizeBytes);
			this.#buffer.fill(0, change.sizeBytes);
			this.#sizeBytes = change.sizeBytes;
		} else {
			const end = change.position + change.bytes.length;
			this.#grow(end);
			this.#buffer.set(change.bytes, change.position);
			this.#sizeBytes = Math.max(this.#sizeBytes, end);
		}
	}

	copyFrom(other: GrowingBytes) {
		this.#buffer = Buffer.from(other.bytes);
		this.#sizeBytes = other.sizeBytes;
	}

	#grow(sizeBytes: number) {
		if (sizeBytes > this.#buffer.length) {
			const grown = Buffer.alloc(
				Math.max(sizeBytes, this.#buffer.length * 2, 1024),
			);
			this.#buffer.copy(grown);
			this.#buffer = grown;
		}
	}
}

/** Content of a file as a process sees it, and as it is on the disk. */
export class MemoryFile {
	readonly #current = new GrowingBytes();
	readonly #durable = new GrowingBytes();
	/** Changes that are not on the disk yet, in order. */
	#changes: Change[] = [];

	get sizeBytes(): number {
		return this.#current.sizeBytes;
	}

	get bytes(): Uint8Array {
		return this.#current.bytes;
	}

	change(change: Change): void {
		this.#current.apply(change);
		this.#changes.push(change);
	}

	sync(): void {
		for (const change of this.#changes) {
			this.#durable.apply(change);
		}

		this.#changes = [];
	}

	/** Keeps the first unsynced changes, and of the next one possibly a part. */
	crash(chooseKept: (count: number) => number): void {
		const kept = chooseKept(this.#changes.length);
		for (const change of this.#changes.slice(0, kept)) {
			this.#durable.apply(change);
		}

		const torn = this.#changes[kept];
		if (torn && 'bytes' in torn) {
			const bytes = torn.bytes.subarray(0, chooseKept(torn.bytes.length));
			if (bytes.length > 0) {
				this.#durable.apply({position: torn.position, bytes});
			}
		}

		this.#changes = [];
		this.#current.copyFrom(this.#durable);
	}

	flipByte(position: number): void {
		for (const content of [this.#current, this.#durable]) {
			if (position < content.sizeBytes) {
				const bytes = Uint8Array.of(255 - content.bytes[position]!);
				content.apply({position, bytes});
			}
		}
	}
}

/** What all processes of a simulated VM share: the names and files of its disk. */
export class MemoryDisk {
	capacityBytes = Number.POSITIVE_INFINITY;
	names = new Map<string, MemoryFile>();
	durableNames = new Map<string, MemoryFile>();
	failures: Array<{operation: string; code: string}> = [];
	/** Number of the current process; handles of earlier ones fail. */
	process = 0;

	get usedBytes(): number {
		let sum = 0;
		for (const file of this.names.values()) {
			sum += file.sizeBytes;
		}

		return sum;
	}

	endProcess(): void {
		this.process += 1;
		this.failures = [];
	}

	crash(chooseKept: (count: number) => number): void {
		this.endProcess();
		this.names = new Map(this.durableNames);
		for (const file of this.names.values()) {
			file.crash(chooseKept);
		}
	}
}
