import type {ProgramId} from '@marjoramcove/types';
import {ValidationError} from '@marjoramcove/errors';
import {shareText} from './share-text.ts';
import type {Program, ProgramsState} from './state.ts';

const FORMAT = 1;

/** Fields of a program in the order of its row; packed rows are written as base64. */
const FIELDS = [
	'id',
	'callerId',
	'labels',
	'parentId',
	'openHash',
	'operationKey',
	'tokenLimit',
	'spentTokens',
	'carvedTokens',
	'turnLimit',
	'spentTurns',
	'carvedTurns',
	'deadlineMs',
	'nextTurn',
	'historyBytes',
	'cachedTokens',
	'records',
	'forgotten',
	'entries',
	'call',
	'holds',
	'carves',
	'endedReason',
	'endedAtMs',
	'returnPending',
] as const satisfies ReadonlyArray<keyof Program>;

type MissingField = Exclude<keyof Program, (typeof FIELDS)[number]>;
// A field that is not listed would be lost by a snapshot; the type then is not assignable.
const noMissingField: [MissingField] extends [never] ? true : MissingField =
	true;

/** Fields that hold packed rows. */
const PACKED = new Set<keyof Program>(['records', 'forgotten', 'entries']);

const encodeField = (field: keyof Program, value: unknown): unknown =>
	PACKED.has(field)
		? Buffer.from(value as string, 'latin1').toString('base64')
		: value;

const decodeField = (field: keyof Program, value: unknown): unknown => {
	if (PACKED.has(field)) {
		return Buffer.from(value as string, 'base64').toString('latin1');
	}

	return typeof value === 'string' ? shareText(value) : (value ?? undefined);
};

/**
 * Encodes a state as a compact snapshot: JSON with one row per program, without field names.
 *
 * @example
 * ```ts
 * const bytes = encodePrograms(state);
 * ```
 */
export const encodePrograms = (state: ProgramsState): Uint8Array => {
	const {programs, operations, ...rest} = state;
	return Buffer.from(
		JSON.stringify({
			format: FORMAT,
			...rest,
			programs: Array.from(programs.values(), (program) =>
				FIELDS.map((field) => encodeField(field, program[field])),
			),
		}),
	);
};

const decodeProgram = (row: unknown[]): Program =>
	Object.fromEntries(
		FIELDS.map((field, index) => [field, decodeField(field, row[index])]),
	) as Program;

/**
 * Decodes a snapshot.
 *
 * @throws ValidationError when the snapshot has another format.
 */
export const decodePrograms = (bytes: Uint8Array): ProgramsState => {
	const {format, programs, ...rest} = JSON.parse(
		Buffer.from(bytes).toString('utf8'),
	) as Omit<ProgramsState, 'programs' | 'operations'> & {
		format: number;
		programs: unknown[][];
	};
	if (format !== FORMAT || !noMissingField) {
		throw new ValidationError(
			`The snapshot has format ${format}; this version reads format ${FORMAT}.`,
			'Use the version of the daemon that wrote the snapshot.',
		);
	}

	const decoded = programs.map((row) => decodeProgram(row));
	return {
		...rest,
		programs: new Map(decoded.map((program) => [program.id, program])),
		operations: new Map(
			decoded.flatMap((program): Array<[string, ProgramId]> =>
				program.operationKey === undefined
					? []
					: [[program.operationKey, program.id]],
			),
		),
	};
};
