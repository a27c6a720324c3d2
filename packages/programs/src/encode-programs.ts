import {ValidationError} from '@marjoramcove/errors';
import type {ProgramId} from '@marjoramcove/types';
import {ByteReader, ByteWriter} from './byte-writer.ts';
import {ProgramTable} from './program-table.ts';
import type {ProgramsState} from './state.ts';

const FORMAT = 2;

type Header = Omit<ProgramsState, 'programs' | 'operations'> & {
	format: number;
	sharedTexts: Array<string | null>;
	/** Number of programs, to detect a truncated snapshot. */
	count: number;
};

/**
 * Encodes a state as a compact snapshot: one line of JSON, then the packed programs with their ids.
 *
 * @example
 * ```ts
 * const bytes = encodePrograms(state);
 * ```
 */
export const encodePrograms = (state: ProgramsState): Uint8Array => {
	const {programs, operations, ...rest} = state;
	const header: Header = {
		format: FORMAT,
		...rest,
		sharedTexts: programs.sharedTexts,
		count: programs.size,
	};
	const writer = new ByteWriter();
	for (const [programId, row] of programs.rows()) {
		writer.writeText(programId);
		writer.writePacked(row);
	}

	return Buffer.concat([
		Buffer.from(`${JSON.stringify(header)}\n`),
		writer.finishBytes(),
	]);
};

const readHeader = (bytes: Uint8Array): {header: Header; end: number} => {
	const lineEnd = bytes.indexOf(10);
	const end = lineEnd === -1 ? bytes.length : lineEnd;
	const header = JSON.parse(
		Buffer.from(bytes.subarray(0, end)).toString('utf8'),
	) as Header;
	if (header.format !== FORMAT) {
		throw new ValidationError(
			`The snapshot has format ${header.format}; this version reads format ${FORMAT}.`,
			'Use the version of the daemon that wrote the snapshot.',
		);
	}

	return {header, end};
};

/**
 * Decodes a snapshot.
 *
 * @throws ValidationError when the snapshot has another format or is truncated.
 */
export const decodePrograms = (bytes: Uint8Array): ProgramsState => {
	const {header, end} = readHeader(bytes);
	const {format: _, sharedTexts, count, ...rest} = header;
	const programs = new ProgramTable();
	programs.restoreTexts(sharedTexts);
	const operations = new Map<string, ProgramId>();
	const packed = Buffer.from(
		bytes.buffer,
		bytes.byteOffset,
		bytes.byteLength,
	).toString('latin1');
	const reader = new ByteReader(packed, end + 1);
	while (!reader.isAtEnd) {
		const programId = reader.readText() as ProgramId;
		// Copies the row, because a slice would keep the whole snapshot in memory.
		const row = Buffer.from(reader.readPacked(), 'latin1').toString('latin1');
		const {operationKey} = programs.restore(programId, row);
		if (operationKey !== undefined) {
			operations.set(operationKey, programId);
		}
	}

	if (programs.size !== count) {
		throw new ValidationError(
			`The snapshot is truncated: it contains ${programs.size} of ${count} programs.`,
			'Copy the snapshot from another replica.',
		);
	}

	return {...rest, programs, operations};
};
