import {BinaryCodec} from './binary-codec.ts';

const FORMAT = 1;

const codec = new BinaryCodec('peer frame', FORMAT);

/**
 * Encodes one message of a frame.
 *
 * @example
 * ```ts
 * socket.send(joinFrame([encodeMessage({id: 1, method: 'mutation'})]));
 * ```
 */
export const encodeMessage = (message: unknown) => codec.encode(message);

/** Builds a frame from encoded messages. */
export const joinFrame = (messages: Uint8Array[]): Buffer =>
	codec.join(messages);

/** First byte of a WebSocket frame that is a whole binary message. */
const BINARY_MESSAGE = 0x82;

/** Bit that a client sets; the mask itself is zero, because masks only protect caches before browsers. */
const MASK_BIT = 0x80;
const MASK_BYTES = 4;

/** Lengths in the second byte that say that 2 or 8 bytes with the length follow. */
const LENGTH_16 = 126;
const LENGTH_64 = 127;

const writeLength = (head: Buffer, lengthBytes: number, maskBit: number) => {
	if (lengthBytes < LENGTH_16) {
		head[1] = maskBit + lengthBytes;
	} else if (lengthBytes < 0x1_00_00) {
		head[1] = maskBit + LENGTH_16;
		head.writeUInt16BE(lengthBytes, 2);
	} else {
		head[1] = maskBit + LENGTH_64;
		head.writeUIntBE(lengthBytes, 4, 6);
	}
};

/**
 * Builds a frame from encoded messages with the WebSocket header in front, so that it is written to the
 * socket in one piece. The library writes the header on its own, and a write costs more than all else.
 *
 * @param isMasked - whether a client sends it; servers refuse frames of clients without a mask.
 * @example
 * ```ts
 * socket.write(buildSocketFrame([encodeMessage({post: 'note', input: 'a'})], true));
 * ```
 */
export const buildSocketFrame = (
	messages: readonly Uint8Array[],
	isMasked: boolean,
): Buffer => {
	let lengthBytes = 1;
	for (const {length} of messages) {
		lengthBytes += length;
	}

	const extraBytes =
		lengthBytes < LENGTH_16 ? 0 : lengthBytes < 0x1_00_00 ? 2 : 8;
	let offset = 2 + extraBytes + (isMasked ? MASK_BYTES : 0);
	const frame = Buffer.allocUnsafe(offset + lengthBytes);
	frame.fill(0, 0, offset);
	frame[0] = BINARY_MESSAGE;
	writeLength(frame, lengthBytes, isMasked ? MASK_BIT : 0);
	frame[offset] = FORMAT;
	offset += 1;
	for (const message of messages) {
		frame.set(message, offset);
		offset += message.length;
	}

	return frame;
};

/**
 * Decodes the messages of a frame. Binary fields are views of the frame.
 *
 * @throws ValidationError when the frame is damaged or has another format.
 * @example
 * ```ts
 * const messages = decodeFrame(joinFrame([encodeMessage({id: 1})]));
 * ```
 */
export const decodeFrame = (frame: Uint8Array): unknown[] =>
	codec.decode(frame);
