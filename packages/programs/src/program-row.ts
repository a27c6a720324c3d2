import type {
	CallerId,
	DaemonId,
	IncarnationId,
	ProgramId,
	RequestId,
	UpstreamId,
} from '@marjoramcove/types';
import {ByteReader, ByteWriter} from './byte-writer.ts';
import type {SharedTexts} from './shared-texts.ts';
import type {ChildBudget, Hold, OpenCall, Program} from './state.ts';

/** Bit flags of a row: the optional parts that it contains. */
const PARENT = 1;
const OPERATION = 2;
const CALL = 4;
const CHILD_BUDGETS = 8;
const ENDED = 16;
const RETURN_PENDING = 32;

/** Bit flags of a call. */
const TOOL = 1;
const IDEMPOTENT = 2;

const writer = new ByteWriter();

const writeSigned = (value: number): void => {
	writer.writeNumber(value < 0 ? 1 : 0);
	writer.writeNumber(Math.abs(value));
};

const readSigned = (reader: ByteReader): number => {
	const sign = reader.readNumber() === 1 ? -1 : 1;
	return sign * reader.readNumber();
};

const writeCall = (call: OpenCall): void => {
	writer.writeNumber(
		(call.kind === 'tool' ? TOOL : 0) + (call.idempotent ? IDEMPOTENT : 0),
	);
	writer.writeText(call.requestId);
	writer.writeHash(call.bodyHash);
	writer.writeNumber(call.turn);
	writer.writeNumber(call.reservedTokens);
	writer.writeNumber(call.timeoutMs);
	writer.writeNumber(call.attemptAtMs);
	writer.writeNumber(call.entriesBefore);
	writer.writeNumber(call.intent.attempt);
	writer.writeText(call.intent.upstreamId);
	writer.writeText(call.intent.dispatcherId);
	writer.writeText(call.intent.dispatcherIncarnation);
};

const readCall = (reader: ByteReader): OpenCall => {
	const flags = reader.readNumber();
	return {
		kind: flags % 2 === TOOL ? 'tool' : 'model',
		idempotent: flags >= IDEMPOTENT,
		requestId: reader.readText() as RequestId,
		bodyHash: reader.readHash(),
		turn: reader.readNumber(),
		reservedTokens: reader.readNumber(),
		timeoutMs: reader.readNumber(),
		attemptAtMs: reader.readNumber(),
		entriesBefore: reader.readNumber(),
		intent: {
			attempt: reader.readNumber(),
			upstreamId: reader.readText() as UpstreamId,
			dispatcherId: reader.readText() as DaemonId,
			dispatcherIncarnation: reader.readText() as IncarnationId,
		},
	};
};

const writeHold = ({upstreamId, turn}: Hold): void => {
	writer.writeText(upstreamId);
	writer.writeNumber(turn);
};

const readHold = (reader: ByteReader): Hold => ({
	upstreamId: reader.readText() as UpstreamId,
	turn: reader.readNumber(),
});

const writeChildBudget = ({
	childId,
	tokens,
	turns,
	returned,
}: ChildBudget): void => {
	writer.writeText(childId);
	writer.writeNumber(tokens);
	writer.writeNumber(turns);
	writer.writeNumber(returned ? 1 : 0);
};

const readChildBudget = (reader: ByteReader): ChildBudget => ({
	childId: reader.readText() as ProgramId,
	tokens: reader.readNumber(),
	turns: reader.readNumber(),
	returned: reader.readNumber() === 1,
});

const writeList = <Item>(
	items: readonly Item[],
	writeItem: (item: Item) => void,
): void => {
	writer.writeNumber(items.length);
	for (const item of items) {
		writeItem(item);
	}
};

const readList = <Item>(
	reader: ByteReader,
	readItem: (reader: ByteReader) => Item,
): Item[] => Array.from({length: reader.readNumber()}, () => readItem(reader));

const encodeFlags = (program: Program): number =>
	(program.parentId === undefined ? 0 : PARENT) +
	(program.operationKey === undefined ? 0 : OPERATION) +
	(program.call ? CALL : 0) +
	(program.childBudgets ? CHILD_BUDGETS : 0) +
	(program.endedReason === undefined ? 0 : ENDED) +
	(program.returnPending ? RETURN_PENDING : 0);

const writeOptional = (program: Program): void => {
	if (program.parentId !== undefined) {
		writer.writeText(program.parentId);
	}

	if (program.operationKey !== undefined) {
		writer.writeText(program.operationKey);
	}

	if (program.call) {
		writeCall(program.call);
	}

	if (program.childBudgets) {
		writeList(program.childBudgets, writeChildBudget);
	}

	if (program.endedReason !== undefined) {
		writer.writeText(program.endedReason);
		writer.writeNumber(program.endedAtMs!);
	}
};

/** Writes the non-negative numbers of a program in the order of its row. */
const writeNumbers = (program: Program): void => {
	writer.writeNumber(program.tokenLimit);
	writer.writeNumber(program.spentTokens);
	writer.writeNumber(program.childTokens);
	writer.writeNumber(program.turnLimit);
	writer.writeNumber(program.spentTurns);
	writer.writeNumber(program.childTurns);
	writer.writeNumber(program.nextTurn);
	writer.writeNumber(program.historyBytes);
	writer.writeNumber(program.cachedTokens);
	writer.writeNumber(program.entryCount);
	writer.writeNumber(program.entriesEnd);
};

/** Packs a program into one string; its id and its shared texts are stored outside of the row. */
export const packProgram = (
	program: Program,
	[callerIndex, labelsIndex]: readonly [number, number],
): string => {
	writer.writeNumber(callerIndex);
	writer.writeNumber(labelsIndex);
	writer.writeNumber(encodeFlags(program));
	writer.writeHash(program.openHash);
	writeSigned(program.deadlineMs);
	writeNumbers(program);
	writeOptional(program);
	writeList(program.holds, writeHold);
	writer.writePacked(program.records);
	writer.writePacked(program.droppedHashes);
	writer.writePacked(program.entries);
	return writer.finish();
};

/** Reads the indexes of the caller id and the labels of a packed program. */
export const readSharedTextIndexes = (row: string): [number, number] => {
	const reader = new ByteReader(row);
	return [reader.readNumber(), reader.readNumber()];
};

const hasFlag = (flags: number, flag: number): boolean =>
	Math.floor(flags / flag) % 2 === 1;

/** Reads the optional parts in the order in which {@link packProgram} writes them. */
const readOptional = (reader: ByteReader, flags: number) => ({
	parentId: hasFlag(flags, PARENT)
		? (reader.readText() as ProgramId)
		: undefined,
	operationKey: hasFlag(flags, OPERATION) ? reader.readText() : undefined,
	call: hasFlag(flags, CALL) ? readCall(reader) : undefined,
	childBudgets: hasFlag(flags, CHILD_BUDGETS)
		? readList(reader, readChildBudget)
		: undefined,
	endedReason: hasFlag(flags, ENDED) ? reader.readText() : undefined,
	endedAtMs: hasFlag(flags, ENDED) ? reader.readNumber() : undefined,
	returnPending: hasFlag(flags, RETURN_PENDING) ? true : undefined,
});

/** Unpacks a program. The result is a copy; modifying it does not modify the row. */
export const unpackProgram = (
	id: ProgramId,
	row: string,
	texts: SharedTexts,
): Program => {
	const reader = new ByteReader(row);
	const callerId = texts.at(reader.readNumber()) as CallerId;
	const labels = texts.at(reader.readNumber());
	const flags = reader.readNumber();
	return {
		id,
		callerId,
		labels,
		openHash: reader.readHash(),
		deadlineMs: readSigned(reader),
		tokenLimit: reader.readNumber(),
		spentTokens: reader.readNumber(),
		childTokens: reader.readNumber(),
		turnLimit: reader.readNumber(),
		spentTurns: reader.readNumber(),
		childTurns: reader.readNumber(),
		nextTurn: reader.readNumber(),
		historyBytes: reader.readNumber(),
		cachedTokens: reader.readNumber(),
		entryCount: reader.readNumber(),
		entriesEnd: reader.readNumber(),
		...readOptional(reader, flags),
		holds: readList(reader, readHold),
		records: reader.readPacked(),
		droppedHashes: reader.readPacked(),
		entries: reader.readPacked(),
	};
};
