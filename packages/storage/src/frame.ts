import {checksum64} from './checksum.ts';

/** A record of the write-ahead log. The log does not interpret kind and payload. */
export type LogRecord = {
	/** Name of the replicated group, at most 255 bytes. */
	group: string;
	/** Meaning of the payload, 0 to 255. */
	kind: number;
	payload: Uint8Array;
};

/** Marker at the start of each frame, which makes the search for later valid frames cheap. */
const FRAME_MAGIC = 0x4d_43_57_46;

// Layout: magic u32, length u32, checksum u64, then the body: kind u8, group length u8, group, payload.
const FRAME_HEADER_BYTES = 16;

/** Largest body of a frame; a larger length in a file is damage. */
export const MAX_FRAME_BODY_BYTES = 256 * 1024 * 1024;

/** Encodes records as consecutive frames in one buffer. */
export const encodeFrames = (records: readonly LogRecord[]): Uint8Array => {
	let sizeBytes = 0;
	for (const record of records) {
		sizeBytes +=
			FRAME_HEADER_BYTES +
			2 +
			Buffer.byteLength(record.group) +
			record.payload.length;
	}

	const buffer = Buffer.allocUnsafe(sizeBytes);
	let offset = 0;
	for (const record of records) {
		offset = writeFrame(buffer, offset, record);
	}

	return buffer;
};

const writeFrame = (buffer: Buffer, offset: number, record: LogRecord) => {
	const bodyStart = offset + FRAME_HEADER_BYTES;
	const groupBytes = buffer.write(record.group, bodyStart + 2);
	buffer[bodyStart] = record.kind;
	buffer[bodyStart + 1] = groupBytes;
	buffer.set(record.payload, bodyStart + 2 + groupBytes);
	const end = bodyStart + 2 + groupBytes + record.payload.length;
	buffer.writeUInt32LE(FRAME_MAGIC, offset);
	buffer.writeUInt32LE(end - bodyStart, offset + 4);
	buffer.writeBigUInt64LE(
		checksum64(buffer.subarray(bodyStart, end)),
		offset + 8,
	);
	return end;
};

/**
 * Decodes the frame at the offset.
 *
 * @returns the record (its payload is a view of `buffer`) and the offset after it, or `undefined`
 * when no valid frame starts there.
 */
export const decodeFrame = (
	buffer: Buffer,
	offset: number,
): {record: LogRecord; end: number} | undefined => {
	const bodyStart = offset + FRAME_HEADER_BYTES;
	if (
		bodyStart + 2 > buffer.length ||
		buffer.readUInt32LE(offset) !== FRAME_MAGIC
	) {
		return undefined;
	}

	const bodyBytes = buffer.readUInt32LE(offset + 4);
	const end = bodyStart + bodyBytes;
	if (
		bodyBytes < 2 ||
		bodyBytes > MAX_FRAME_BODY_BYTES ||
		end > buffer.length
	) {
		return undefined;
	}

	const groupEnd = bodyStart + 2 + buffer[bodyStart + 1]!;
	if (
		groupEnd > end ||
		checksum64(buffer.subarray(bodyStart, end)) !==
			buffer.readBigUInt64LE(offset + 8)
	) {
		return undefined;
	}

	return {
		record: {
			kind: buffer[bodyStart]!,
			group: buffer.toString('utf8', bodyStart + 2, groupEnd),
			payload: buffer.subarray(groupEnd, end),
		},
		end,
	};
};

/** Offset of the first valid frame at or after `offset`, or -1. */
export const findValidFrame = (buffer: Buffer, offset: number): number => {
	const magic = Buffer.alloc(4);
	magic.writeUInt32LE(FRAME_MAGIC);
	for (
		let found = buffer.indexOf(magic, offset);
		found !== -1;
		found = buffer.indexOf(magic, found + 1)
	) {
		if (decodeFrame(buffer, found)) {
			return found;
		}
	}

	return -1;
};
