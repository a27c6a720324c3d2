import {BinaryCodec} from './binary-codec.ts';

const codec = new BinaryCodec('peer frame', 1);

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
