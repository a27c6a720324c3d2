import {ValidationError} from '@marjoramcove/errors';
import type {GroupId} from '@marjoramcove/types';
import {copyCommand} from './copy-command.ts';
import type {PeerBatch, PeerMessage} from './peer-messages.ts';
import type {LogEntry} from './raft-types.ts';

// A batch consists of the length of a JSON header (u32), the header, and all binary parts in the order
// in which the header lists their lengths. The header encodes a message as an array without field
// names, because heartbeats make up most of the idle traffic.

type FieldKind = 'boolean' | 'bytes' | 'entries' | 'integer' | 'json' | 'text';
type Layout = ReadonlyArray<readonly [field: string, kind: FieldKind]>;

const VOTE_REQUEST: Layout = [
	['term', 'integer'],
	['lastIndex', 'integer'],
	['lastTerm', 'integer'],
	['isTransfer', 'boolean'],
];
const VOTE_RESPONSE: Layout = [
	['term', 'integer'],
	['isGranted', 'boolean'],
];

// The position in this list is the type code on the wire, so the list is append-only.
const LAYOUTS: ReadonlyArray<readonly [PeerMessage['type'], Layout]> = [
	['pre-vote', VOTE_REQUEST],
	['vote', VOTE_REQUEST],
	['pre-vote-response', VOTE_RESPONSE],
	['vote-response', VOTE_RESPONSE],
	[
		'append',
		[
			['term', 'integer'],
			['previousIndex', 'integer'],
			['previousTerm', 'integer'],
			['commitIndex', 'integer'],
			['entries', 'entries'],
		],
	],
	[
		'append-response',
		[
			['term', 'integer'],
			['isAccepted', 'boolean'],
			['index', 'integer'],
			['hintIndex', 'integer'],
		],
	],
	[
		'heartbeat',
		[
			['term', 'integer'],
			['commitIndex', 'integer'],
			['round', 'integer'],
		],
	],
	[
		'heartbeat-response',
		[
			['term', 'integer'],
			['round', 'integer'],
		],
	],
	['timeout-now', [['term', 'integer']]],
	[
		'snapshot-offer',
		[
			['term', 'integer'],
			['meta', 'json'],
		],
	],
	[
		'fetch-snapshot',
		[
			['index', 'integer'],
			['offset', 'integer'],
		],
	],
	[
		'snapshot-chunk',
		[
			['index', 'integer'],
			['offset', 'integer'],
			['isKept', 'boolean'],
			['bytes', 'bytes'],
		],
	],
	[
		'fetch-history',
		[
			['offset', 'integer'],
			['endOffset', 'integer'],
		],
	],
	[
		'history-chunk',
		[
			['offset', 'integer'],
			['bytes', 'bytes'],
		],
	],
	['form-query', []],
	['form-promise', []],
	[
		'form-result',
		[
			['formedBy', 'text'],
			['membership', 'json'],
			['current', 'json'],
		],
	],
	['form-ask', []],
	['form-voters', [['voterIds', 'json']]],
];

const TYPE_CODES = new Map(LAYOUTS.map(([type], code) => [type, code]));
const ENTRY_KINDS: ReadonlyArray<LogEntry['kind']> = [
	'command',
	'no-op',
	'membership',
];

const encodeEntries = (entries: LogEntry[], parts: Uint8Array[]) => {
	const fields: number[] = [entries[0]?.index ?? 0];
	for (const {term, kind, command} of entries) {
		fields.push(term, ENTRY_KINDS.indexOf(kind), command.length);
		parts.push(command);
	}

	return fields;
};

const encodeField = (kind: FieldKind, value: unknown, parts: Uint8Array[]) => {
	if (kind === 'boolean') {
		return value ? 1 : 0;
	}

	if (kind === 'bytes') {
		parts.push(value as Uint8Array);
		return (value as Uint8Array).length;
	}

	return kind === 'entries' ? encodeEntries(value as LogEntry[], parts) : value;
};

/**
 * Encodes a batch of messages.
 *
 * @example
 * ```ts
 * const bytes = encodePeerBatch({from, to, messages});
 * ```
 */
export const encodePeerBatch = (batch: PeerBatch): Uint8Array => {
	const parts: Uint8Array[] = [];
	const messages = batch.messages.map(({groupId, message}) => {
		const code = TYPE_CODES.get(message.type)!;
		const fields = message as unknown as Record<string, unknown>;
		return [
			groupId,
			code,
			...LAYOUTS[code]![1].map(([name, kind]) =>
				encodeField(kind, fields[name], parts),
			),
		];
	});
	const header = Buffer.from(
		JSON.stringify({f: batch.from, t: batch.to, m: messages}),
	);
	const length = Buffer.alloc(4);
	length.writeUInt32LE(header.length);
	return Buffer.concat([length, header, ...parts]);
};

class BatchReader {
	readonly #bytes: Buffer;
	#offset: number;

	constructor(bytes: Buffer, offset: number) {
		this.#bytes = bytes;
		this.#offset = offset;
	}

	readPart(lengthBytes: number) {
		const end = this.#offset + lengthBytes;
		assertFormat(
			end <= this.#bytes.length,
			'a binary part is truncated or missing',
		);
		const part = this.#bytes.subarray(this.#offset, end);
		this.#offset = end;
		return part;
	}

	/** Copies the next part, so that a retained entry does not keep the whole batch in memory. */
	readCopy(lengthBytes: number) {
		return copyCommand(this.readPart(lengthBytes));
	}
}

function assertFormat(condition: boolean, problem: string): asserts condition {
	if (!condition) {
		throw new ValidationError(
			`Malformed batch of peer messages: ${problem}.`,
			'Check that all daemons run compatible versions.',
		);
	}
}

const isInteger = (value: unknown): value is number =>
	Number.isSafeInteger(value) && (value as number) >= 0;

const decodeEntries = (value: unknown, reader: BatchReader) => {
	assertFormat(
		Array.isArray(value) &&
			value.length % 3 === 1 &&
			value.every((field) => isInteger(field)),
		'the entries are not an array of integers',
	);
	const fields = value;
	const entries: LogEntry[] = [];
	for (let position = 1; position < fields.length; position += 3) {
		const kind = ENTRY_KINDS[fields[position + 1]!];
		assertFormat(kind !== undefined, 'an entry has an unknown kind');
		entries.push({
			index: fields[0]! + entries.length,
			term: fields[position]!,
			kind,
			command: reader.readCopy(fields[position + 2]!),
		});
	}

	return entries;
};

const decodeField = (kind: FieldKind, value: unknown, reader: BatchReader) => {
	if (kind === 'entries') {
		return decodeEntries(value, reader);
	}

	if (kind === 'json') {
		assertFormat(
			typeof value === 'object' && value !== null,
			'a field is not an object',
		);
		return value;
	}

	if (kind === 'text') {
		assertFormat(typeof value === 'string', 'a field is not a string');
		return value;
	}

	assertFormat(isInteger(value), 'a field is not a non-negative integer');
	if (kind === 'bytes') {
		return reader.readPart(value);
	}

	return kind === 'boolean' ? value === 1 : value;
};

const decodeMessage = (
	fields: unknown,
	reader: BatchReader,
): PeerBatch['messages'][number] => {
	assertFormat(
		Array.isArray(fields) && typeof fields[0] === 'string',
		'a message has no group',
	);
	const [groupId, code, ...values] = fields as unknown[];
	const entry = LAYOUTS[code as number];
	assertFormat(
		entry?.[1].length === values.length,
		'a message has an unknown type or a wrong number of fields',
	);
	const message: Record<string, unknown> = {type: entry[0]};
	for (const [position, [name, kind]] of entry[1].entries()) {
		message[name] = decodeField(kind, values[position], reader);
	}

	return {
		groupId: groupId as GroupId,
		message: message as unknown as PeerMessage,
	};
};

const parseHeader = (bytes: Buffer): {f: unknown; t: unknown; m: unknown} => {
	assertFormat(bytes.length >= 4, 'the header length is missing');
	const headerEnd = 4 + bytes.readUInt32LE(0);
	assertFormat(headerEnd <= bytes.length, 'the header is truncated');
	try {
		return JSON.parse(bytes.toString('utf8', 4, headerEnd)) as {
			f: unknown;
			t: unknown;
			m: unknown;
		};
	} catch {
		assertFormat(false, 'the header is not valid JSON');
	}
};

/**
 * Decodes a batch of messages.
 *
 * @throws ValidationError when the bytes are not a valid batch.
 * @example
 * ```ts
 * const {from, messages} = decodePeerBatch(bytes);
 * ```
 */
export const decodePeerBatch = (bytes: Uint8Array): PeerBatch => {
	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
	const header = parseHeader(buffer);
	assertFormat(
		typeof header?.f === 'string' &&
			typeof header.t === 'string' &&
			Array.isArray(header.m),
		'the header fields are missing or have the wrong types',
	);
	const reader = new BatchReader(buffer, 4 + buffer.readUInt32LE(0));
	return {
		from: header.f as PeerBatch['from'],
		to: header.t as PeerBatch['to'],
		messages: (header.m as unknown[]).map((fields) =>
			decodeMessage(fields, reader),
		),
	};
};
