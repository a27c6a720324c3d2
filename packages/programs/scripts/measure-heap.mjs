// Measures the heap size per program of the program state machine:
//   node --expose-gc packages/programs/scripts/measure-heap.mjs [TURNS] [SIZES]
// Each program has one open model call and TURNS (default: 20) answered calls, every 4th of which is a
// non-idempotent tool call. SIZES is a comma-separated list of numbers of programs.
import {
	createProgramsState,
	decodePrograms,
	encodePrograms,
	stepPrograms,
} from '../dist/index.js';

const SIZES = (process.argv[3] ?? '1000,10000,50000').split(',').map(Number);
const TURNS = Number(process.argv[2] ?? 20);

const usedHeapBytes = () => {
	for (let round = 0; round < 4; round++) {
		globalThis.gc();
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

const createAccept = (programId, turn) => {
	const isTool = turn % 4 === 3;
	return {
		type: 'accept-call',
		nowMs: 1_700_000_000_000 + turn,
		programId,
		requestId: `request-${programId}-${turn}`,
		bodyHash: `body-${turn}`,
		kind: isTool ? 'tool' : 'model',
		idempotent: !isTool,
		messages: [{role: 'user', content: 'x'.repeat(200)}],
		reservedTokens: 1000,
		timeoutMs: 60_000,
		intent: {
			attempt: 1,
			upstreamId: `engine-${turn % 2}`,
			dispatcherId: 'd1',
			dispatcherIncarnation: 'i1',
		},
	};
};

const createSettle = (programId, turn) => ({
	type: 'settle-call',
	nowMs: 1_700_000_000_000 + turn,
	programId,
	requestId: `request-${programId}-${turn}`,
	attempt: 1,
	outcome: {
		status: 'answered',
		verdict: 'ran',
		contentType: 'application/json',
	},
	answer: {role: 'assistant', content: 'y'.repeat(300)},
	usedTokens: 800,
});

const buildState = (count) => {
	const state = createProgramsState(0, {historySizeBytes: 2 ** 30});
	for (let index = 0; index < count; index++) {
		const programId = `p0-${index.toString(36).padStart(12, '0')}`;
		stepPrograms(state, {
			type: 'open-program',
			nowMs: 1_700_000_000_000,
			programId,
			callerId: `caller-${index % 5000}`,
			labels: {agent: 'entry-coaching', hall: `hall-${index % 200}`},
			budget: {tokens: 3e8, turns: 1000, wallTimeMs: 3_600_000},
		});
		for (let turn = 0; turn < TURNS; turn++) {
			stepPrograms(state, createAccept(programId, turn));
			stepPrograms(state, createSettle(programId, turn));
		}

		stepPrograms(state, createAccept(programId, TURNS));
	}

	return state;
};

const measure = (count) => {
	const before = usedHeapBytes();
	const state = buildState(count);
	const built = usedHeapBytes() - before;
	const snapshot = encodePrograms(state);
	const decodedBefore = usedHeapBytes();
	const decoded = decodePrograms(snapshot);
	const decodedBytes = usedHeapBytes() - decodedBefore;
	return {
		programs: count,
		turns: TURNS,
		heapBytesPerProgram: Math.round(built / state.programs.size),
		decodedHeapBytesPerProgram: Math.round(
			decodedBytes / decoded.programs.size,
		),
		snapshotBytesPerProgram: Math.round(snapshot.length / count),
	};
};

console.table(SIZES.map((count) => measure(count)));
