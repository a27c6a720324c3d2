import {ValidationError} from '@marjoramcove/errors';
import type {Packr} from 'msgpackr';
// This entry point does not use a native addon, so that all daemons decode strings in the same way.
import * as msgpackr from 'msgpackr/pack';

// The type declarations of this entry point do not resolve, and they lack `skipValues`.
const {Packr: Packer} = msgpackr as unknown as {
	Packr: new (options: {useRecords: boolean; skipValues: unknown[]}) => Packr;
};

/**
 * Encodes and decodes MessagePack values that follow a format byte. Undefined fields are omitted as
 * in JSON; binary fields stay binary.
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

	/**
	 * @param name - what is encoded, for error messages.
	 * @param format - first byte of the encoding.
	 */
	constructor(name: string, format: number) {
		this.#name = name;
		this.#format = format;
	}

	/** Encodes one value, without the format byte. */
	encode(value: unknown): Uint8Array<ArrayBuffer> {
		return this.#packer.pack(value) as Uint8Array<ArrayBuffer>;
	}

	/** Concatenates the format byte and encoded values. */
	join(values: Uint8Array[]): Buffer {
		return Buffer.concat([Uint8Array.of(this.#format), ...values]);
	}

	/**
	 * Decodes all values that {@link BinaryCodec.join} concatenated. Binary fields are views of the input.
	 *
	 * @throws ValidationError when the input is damaged or has another format.
	 */
	decode(bytes: Uint8Array): unknown[] {
		if (bytes[0] !== this.#format) {
			throw this.#createDamageError(
				`it has format ${bytes[0] ?? 'none'}, and this version reads format ${this.#format}`,
			);
		}

		if (bytes.length === 1) {
			return [];
		}

		try {
			return this.#packer.unpackMultiple(bytes.subarray(1)) as unknown[];
		} catch (error) {
			throw this.#createDamageError(
				error instanceof Error ? error.message : String(error),
			);
		}
	}

	#createDamageError(found: string): ValidationError {
		return new ValidationError(
			`A ${this.#name} is damaged: ${found}.`,
			'Run the same version on all daemons.',
		);
	}
}
