/** Bytes that a writer starts with; it grows when a row needs more. */
const INITIAL_BYTES = 16 * 1024;
/** Longest text whose characters are written one by one; its length takes one byte. */
const SHORT_TEXT = 64;
/** V8 copies slices up to this length; a longer one would keep the whole row alive. */
const COPIED_SLICE = 12;
// eslint-disable-next-line no-control-regex
const ASCII = /^[\u0000-\u007F]*$/u;

/** Writes numbers and texts one after the other; one writer is used for many rows. */
export class ByteWriter {
	#bytes = Buffer.allocUnsafe(INITIAL_BYTES);
	#length = 0;

	/** Writes a whole number that is not negative, 7 bits a byte, the lowest first. */
	writeNumber(value: number): void {
		if (!Number.isSafeInteger(value) || value < 0) {
			throw new RangeError(`${value} is not a whole number from 0 on.`);
		}

		this.#reserve(8);
		let rest = value;
		while (rest >= 128) {
			this.#bytes[this.#length++] = (rest % 128) + 128;
			rest = Math.floor(rest / 128);
		}

		this.#bytes[this.#length++] = rest;
	}

	/** Writes a signed 32-bit hash. */
	writeHash(hash: number): void {
		this.#reserve(4);
		this.#length = this.#bytes.writeInt32LE(hash, this.#length);
	}

	/** Writes a text in UTF-8 with its length. */
	writeText(text: string): void {
		if (text.length <= SHORT_TEXT && this.#writeShort(text)) {
			return;
		}

		const sizeBytes = Buffer.byteLength(text);
		this.writeNumber(sizeBytes);
		this.#reserve(sizeBytes);
		this.#length += this.#bytes.write(text, this.#length, 'utf8');
	}

	/** Writes packed bytes, a character per byte, with their length. */
	writePacked(packed: string): void {
		this.writeNumber(packed.length);
		this.#reserve(packed.length);
		this.#length += this.#bytes.write(packed, this.#length, 'latin1');
	}

	/** Returns what was written as a flat string with a character per byte, and starts again. */
	finish(): string {
		const packed = this.#bytes.toString('latin1', 0, this.#length);
		this.#length = 0;
		return packed;
	}

	/** Returns a copy of what was written, and starts again. */
	finishBytes(): Uint8Array {
		const bytes = Uint8Array.from(this.#bytes.subarray(0, this.#length));
		this.#length = 0;
		return bytes;
	}

	/** Writes a short text without a call of the Buffer; false when a character is not ASCII. */
	#writeShort(text: string): boolean {
		this.#reserve(text.length + 1);
		let at = this.#length;
		this.#bytes[at++] = text.length;
		for (let index = 0; index < text.length; index++) {
			const code = text.codePointAt(index)!;
			if (code > 127) {
				return false;
			}

			this.#bytes[at++] = code;
		}

		this.#length = at;
		return true;
	}

	#reserve(sizeBytes: number): void {
		if (this.#length + sizeBytes > this.#bytes.length) {
			const grown = Buffer.allocUnsafe(2 * (this.#bytes.length + sizeBytes));
			grown.set(this.#bytes.subarray(0, this.#length));
			this.#bytes = grown;
		}
	}
}

/** Reads what a {@link ByteWriter} wrote. */
export class ByteReader {
	readonly #packed: string;
	#at: number;

	constructor(packed: string, at = 0) {
		this.#packed = packed;
		this.#at = at;
	}

	get isAtEnd(): boolean {
		return this.#at >= this.#packed.length;
	}

	/** Position of the next byte. */
	get position(): number {
		return this.#at;
	}

	readNumber(): number {
		let value = 0;
		let factor = 1;
		for (;;) {
			const byte = this.#packed.codePointAt(this.#at++);
			if (byte === undefined) {
				throw new RangeError('The packed bytes end too early.');
			}

			if (byte < 128) {
				return value + byte * factor;
			}

			value += (byte - 128) * factor;
			factor *= 128;
		}
	}

	readHash(): number {
		let hash = 0;
		for (let index = 3; index >= 0; index--) {
			hash = hash * 256 + this.#packed.codePointAt(this.#at + index)!;
		}

		this.#at += 4;
		return hash < 2 ** 31 ? hash : hash - 2 ** 32;
	}

	skipHash(): void {
		this.#at += 4;
	}

	/** The text is a copy, so that it does not keep the whole row alive. */
	readText(): string {
		const packed = this.readPacked();
		return packed.length <= COPIED_SLICE && ASCII.test(packed)
			? packed
			: Buffer.from(packed, 'latin1').toString('utf8');
	}

	readPacked(): string {
		const sizeBytes = this.readNumber();
		this.#at += sizeBytes;
		return this.#packed.slice(this.#at - sizeBytes, this.#at);
	}
}
