/** Initial size of the buffer of a writer; it grows as needed. */
const INITIAL_SIZE_BYTES = 16 * 1024;
/** Maximum length of a text that is written character by character; the length takes one byte. */
const MAX_SHORT_TEXT_LENGTH = 64;
/** V8 copies slices up to this length; a longer slice would keep the whole row in memory. */
const MAX_COPIED_SLICE_LENGTH = 12;
// eslint-disable-next-line no-control-regex
const ASCII = /^[\u0000-\u007F]*$/u;

/** Encodes a sequence of numbers and texts. A writer can be reused for many rows. */
export class ByteWriter {
	#bytes = Buffer.allocUnsafe(INITIAL_SIZE_BYTES);
	#length = 0;

	/** Writes a non-negative integer as a varint: 7 bits per byte, lowest bits first. */
	writeNumber(value: number): void {
		if (!Number.isSafeInteger(value) || value < 0) {
			throw new RangeError(`${value} is not a non-negative safe integer.`);
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

	/** Writes a text as UTF-8, prefixed with its length. */
	writeText(text: string): void {
		if (text.length <= MAX_SHORT_TEXT_LENGTH && this.#writeShortText(text)) {
			return;
		}

		const sizeBytes = Buffer.byteLength(text);
		this.writeNumber(sizeBytes);
		this.#reserve(sizeBytes);
		this.#length += this.#bytes.write(text, this.#length, 'utf8');
	}

	/** Writes packed bytes (one character per byte), prefixed with their length. */
	writePacked(packed: string): void {
		this.writeNumber(packed.length);
		this.#reserve(packed.length);
		this.#length += this.#bytes.write(packed, this.#length, 'latin1');
	}

	/** Returns the written bytes as a flat string with one character per byte, and resets the writer. */
	finish(): string {
		const packed = this.#bytes.toString('latin1', 0, this.#length);
		this.#length = 0;
		return packed;
	}

	/** Returns a copy of the written bytes and resets the writer. */
	finishBytes(): Uint8Array {
		const bytes = Uint8Array.from(this.#bytes.subarray(0, this.#length));
		this.#length = 0;
		return bytes;
	}

	/** Writes a short text without calling into Buffer; returns false when a character is not ASCII. */
	#writeShortText(text: string): boolean {
		this.#reserve(text.length + 1);
		let position = this.#length;
		this.#bytes[position++] = text.length;
		for (let index = 0; index < text.length; index++) {
			const code = text.codePointAt(index)!;
			if (code > 127) {
				return false;
			}

			this.#bytes[position++] = code;
		}

		this.#length = position;
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

/** Decodes the output of {@link ByteWriter}. */
export class ByteReader {
	readonly #packed: string;
	#position: number;

	constructor(packed: string, position = 0) {
		this.#packed = packed;
		this.#position = position;
	}

	get isAtEnd(): boolean {
		return this.#position >= this.#packed.length;
	}

	/** Position of the next byte. */
	get position(): number {
		return this.#position;
	}

	readNumber(): number {
		let value = 0;
		let factor = 1;
		for (;;) {
			const byte = this.#packed.codePointAt(this.#position++);
			if (byte === undefined) {
				throw new RangeError('Unexpected end of the packed bytes.');
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
			hash = hash * 256 + this.#packed.codePointAt(this.#position + index)!;
		}

		this.#position += 4;
		return hash < 2 ** 31 ? hash : hash - 2 ** 32;
	}

	skipHash(): void {
		this.#position += 4;
	}

	/** Reads a text. The result is a copy, so that it does not keep the whole row in memory. */
	readText(): string {
		const packed = this.readPacked();
		return packed.length <= MAX_COPIED_SLICE_LENGTH && ASCII.test(packed)
			? packed
			: Buffer.from(packed, 'latin1').toString('utf8');
	}

	readPacked(): string {
		const sizeBytes = this.readNumber();
		this.#position += sizeBytes;
		return this.#packed.slice(this.#position - sizeBytes, this.#position);
	}
}
