import {ValidationError} from '@marjoramcove/errors';
import type {Packr} from 'msgpackr';
// This entry point has no native part, so that all daemons decode a text in the same way.
import * as msgpackr from 'msgpackr/pack';

// The declarations of this entry point do not resolve, and they lack `skipValues`.
const {Packr: Packer} = msgpackr as unknown as {
	Packr: new (options: {useRecords: boolean; skipValues: unknown[]}) => Packr;
};

/**
 * MessagePack values behind a format byte. Fields that are undefined are left out as in JSON, bytes
 * stay bytes.
 *
 * @example
 * ```ts
 * const codec = new BinaryCodec('command', 1);
 * const command = codec.decode(codec.join([codec.encode({type: 'expire-programs'})]))[0];
 * ```
 */
export class BinaryCodec {
	readonly #name: string;
	readonly #format: number;
	readonly #packer = new Packer({useRecords: false, skipValues: [undefined]});

	/** @param name - what is encoded, for errors; `format` is the first byte of the encoding. */
	constructor(name: string, format: number) {
		this.#name = name;
		this.#format = format;
	}

	/** Encodes one value, without the format byte. */
	encode(value: unknown): Uint8Array<ArrayBuffer> {
		return this.#packer.pack(value) as Uint8Array<ArrayBuffer>;
	}

	/** Joins encoded values behind the format byte. */
	join(values: Uint8Array[]): Buffer {
		return Buffer.concat([Uint8Array.of(this.#format), ...values]);
	}

	/**
	 * Decodes all values of a join. Bytes in them are views of the input.
	 *
	 * @throws ValidationError when the input is damaged or has another format.
	 */
	decode(bytes: Uint8Array): unknown[] {
		if (bytes[0] !== this.#format) {
			throw this.#damaged(
				`it has format ${bytes[0] ?? 'none'}, and this version reads format ${this.#format}`,
			);
		}

		if (bytes.length === 1) {
			return [];
		}

		try {
			return this.#packer.unpackMultiple(bytes.subarray(1)) as unknown[];
		} catch (error) {
			throw this.#damaged(
				error instanceof Error ? error.message : String(error),
			);
		}
	}

	#damaged(found: string): ValidationError {
		return new ValidationError(
			`A ${this.#name} is damaged: ${found}.`,
			'Run the same version on all daemons.',
		);
	}
}
