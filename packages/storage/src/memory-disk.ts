/** A write at a position, or a truncation to a size. */
type FileChange = {position: number; bytes: Uint8Array} | {sizeBytes: number};

/** Bytes that are written and truncated like those of a file. */
class ResizableBuffer {
	#buffer = Buffer.alloc(0);
	#sizeBytes = 0;

	get sizeBytes() {
		return this.#sizeBytes;
	}

	get bytes() {
		return this.#buffer.subarray(0, this.#sizeBytes);
	}

	apply(change: FileChange) {
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

	copyFrom(other: ResizableBuffer) {
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

/** Content of a file: as processes see it, and as it would be after a crash. */
export class MemoryFile {
	readonly #current = new ResizableBuffer();
	readonly #durable = new ResizableBuffer();
	/** Unsynced changes, in order. */
	#changes: FileChange[] = [];

	get sizeBytes(): number {
		return this.#current.sizeBytes;
	}

	get bytes(): Uint8Array {
		return this.#current.bytes;
	}

	change(change: FileChange): void {
		this.#current.apply(change);
		this.#changes.push(change);
	}

	sync(): void {
		for (const change of this.#changes) {
			this.#durable.apply(change);
		}

		this.#changes = [];
	}

	/** Keeps the first unsynced changes, and possibly the first bytes of the next one. */
	crash(chooseKeptCount: (count: number) => number): void {
		const keptCount = chooseKeptCount(this.#changes.length);
		for (const change of this.#changes.slice(0, keptCount)) {
			this.#durable.apply(change);
		}

		const tornChange = this.#changes[keptCount];
		if (tornChange && 'bytes' in tornChange) {
			const bytes = tornChange.bytes.subarray(
				0,
				chooseKeptCount(tornChange.bytes.length),
			);
			if (bytes.length > 0) {
				this.#durable.apply({position: tornChange.position, bytes});
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

/** The disk of a simulated VM, which all its processes share. */
export class MemoryDisk {
	capacityBytes = Number.POSITIVE_INFINITY;
	/** Files by name, as processes see them. */
	names = new Map<string, MemoryFile>();
	/** Files by name, as they would be after a crash. */
	durableNames = new Map<string, MemoryFile>();
	failures: Array<{operation: string; code: string}> = [];
	/** Number of the current process; handles of earlier processes fail. */
	processNumber = 0;

	get usedBytes(): number {
		let sum = 0;
		for (const file of this.names.values()) {
			sum += file.sizeBytes;
		}

		return sum;
	}

	endProcess(): void {
		this.processNumber += 1;
		this.failures = [];
	}

	crash(chooseKeptCount: (count: number) => number): void {
		this.endProcess();
		this.names = new Map(this.durableNames);
		for (const file of this.names.values()) {
			file.crash(chooseKeptCount);
		}
	}
}
