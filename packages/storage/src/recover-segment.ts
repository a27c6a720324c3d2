import {DataCorruptionError} from '@marjoramcove/errors';
import {decodeFrame, findValidFrame, type LogRecord} from './frame.ts';

/**
 * Reads the frames of one segment.
 *
 * A damaged frame is a torn tail only in the last segment and only when no valid frame follows it:
 * a batch is written after the sync of the previous batch, so damage before a valid frame may be in
 * acknowledged data.
 *
 * @returns the length of the valid prefix.
 * @throws DataCorruptionError when the damage is not a torn tail.
 */
export const recoverSegment = (
	file: string,
	bytes: Uint8Array,
	isLast: boolean,
	visit: (record: LogRecord) => void,
): number => {
	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
	let offset = 0;
	while (offset < buffer.length) {
		const frame = decodeFrame(buffer, offset);
		if (!frame) {
			if (!isLast) {
				throw new DataCorruptionError(
					file,
					offset,
					'the frame is damaged and the segment is not the last one',
				);
			}

			const next = findValidFrame(buffer, offset + 1);
			if (next !== -1) {
				throw new DataCorruptionError(
					file,
					offset,
					`the frame is damaged and a valid frame follows at offset ${next}`,
				);
			}

			break;
		}

		visit(frame.record);
		offset = frame.end;
	}

	return offset;
};
