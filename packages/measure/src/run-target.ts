import {
	TARGET_CALLERS,
	TARGET_MODELS,
	TARGET_PROGRAMS,
	TARGET_SERVERS,
	asId,
	type CallerId,
	type ProgramId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';
import {
	admitCall,
	type CallerService,
	chooseEngine,
	createCallerService,
	decideRetention,
	type EngineView,
	estimateWorkMs,
	hasCapacity,
	pickNext,
	type PolicySettings,
	type QueuedCall,
	readService,
	readTuning,
	recordService,
	sampleViews,
} from '@marjoramcove/scheduler';
import {computeMean, computeQuantile} from './metrics.ts';
import {RandomDraws} from './random-draws.ts';
import {readHeapBytes} from './read-heap-bytes.ts';
import type {Row} from './row.ts';

type FleetSize = {
	servers: number;
	models: number;
	callers: number;
	programs: number;
};

/** Sizes from the current deployment up to the target size. */
const SIZES: FleetSize[] = [
	{servers: 12, models: 1, callers: 40, programs: 400},
	{servers: 60, models: 2, callers: 200, programs: 5000},
	{servers: 300, models: 4, callers: 1000, programs: 25_000},
	{servers: 800, models: 8, callers: 2500, programs: 66_000},
	{
		servers: TARGET_SERVERS,
		models: TARGET_MODELS,
		callers: TARGET_CALLERS,
		programs: TARGET_PROGRAMS,
	},
];

export const TARGET_COLUMNS = [
	'scenario',
	'load',
	'servers',
	'models',
	'callers',
	'programs',
	'decisionMeanUs',
	'decisionP50Us',
	'decisionP99Us',
	'stateBytes',
	'stateBytesPerProgram',
];

const SETTINGS: PolicySettings = {latencyWeight: 1, cacheWeight: 3};
const DECISIONS = 20_000;
const WARM_UP_DECISIONS = 5000;
/** Calls that wait for the engine in each decision: two full batches. */
const WAITING_CALLS = 64;

type ProgramState = {
	programId: ProgramId;
	callerId: CallerId;
	previous: EngineView;
	tokens: number;
	turn: number;
};

type State = {
	/** Engines of each model. */
	fleets: Array<{views: EngineView[]; byId: Map<UpstreamId, EngineView>}>;
	programs: ProgramState[];
	byId: Map<ProgramId, ProgramState>;
};

const createView = (engine: number, draws: RandomDraws): EngineView => ({
	upstreamId: asId<UpstreamId>(`engine-${engine}`),
	zone: asId<ZoneName>(`zone-${engine % 12}`),
	slots: 32,
	inFlight: draws.integer(0, 32),
	queued: draws.integer(0, 8),
	outstandingTokens: draws.integer(0, 200_000),
	outstandingCompletionTokens: draws.integer(0, 4000),
	cachedTokens: 0,
	cacheCapacityTokens: 600_000,
	relativeSpeed: 1,
	leaving: draws.next() < 0.01,
	healthy: draws.next() > 0.01,
});

const createState = (size: FleetSize, draws: RandomDraws): State => {
	const fleets = Array.from({length: size.models}, (_, model) => {
		const views: EngineView[] = [];
		for (let engine = model; engine < size.servers; engine += size.models) {
			views.push(createView(engine, draws));
		}

		return {
			views,
			byId: new Map(views.map((view) => [view.upstreamId, view])),
		};
	});
	const programs = Array.from({length: size.programs}, (_, index) => {
		const {views} = fleets[index % fleets.length]!;
		return {
			programId: asId<ProgramId>(`p0-${index}`),
			callerId: asId<CallerId>(`caller-${draws.zipf(size.callers)}`),
			previous: views[draws.integer(0, views.length - 1)]!,
			tokens: draws.integer(2000, 60_000),
			turn: draws.integer(0, 40),
		};
	});
	return {
		fleets,
		programs,
		byId: new Map(programs.map((program) => [program.programId, program])),
	};
};

const toQueuedCall = (program: ProgramState, nowMs: number): QueuedCall => ({
	programId: program.programId,
	callerId: program.callerId,
	requestId: `${program.turn}`,
	queuedAtMs: nowMs,
	attainedTokens: program.tokens,
	promptTokens: program.tokens + 500,
	cachedTokens: program.tokens,
	expectedCompletionTokens: 150,
	turn: program.turn,
	priority: 0,
});

type DispatchContext = {
	queue: QueuedCall[];
	callerService: CallerService;
	draws: RandomDraws;
};

const NOW_MS = 1000;
const RETENTION = {
	expectedPauseMs: 500,
	programEnded: false,
	cacheUsedTokens: 500_000,
	cacheCapacityTokens: 600_000,
	exportFreeTokens: 100_000,
};
const IN_FLIGHT = {
	slots: 32,
	inFlight: 10,
	inFlightTokens: 100_000,
	cacheCapacityTokens: 600_000,
};

/** Makes the admission and routing decisions of a shard owner. */
const route = (
	{fleets, programs}: State,
	index: number,
	draws: RandomDraws,
): void => {
	const program = programs[index]!;
	const {views, byId} = fleets[index % fleets.length]!;
	const load = {
		engines: views.length,
		slots: 32 * views.length,
		inFlight: 100,
		queued: 10,
		outstandingWorkMs: 1000,
		cacheUsedTokens: 100_000 * views.length,
		cacheCapacityTokens: 600_000 * views.length,
		callerPrograms: 1,
		programs: programs.length,
		activeCallers: 100,
	};
	const {zone} = views[0]!;
	admitCall(load, {...program, isNewProgram: true}, NOW_MS, SETTINGS);
	const directory = {
		count: views.length,
		viewAt: (position: number) => views[position]!,
		viewOf: (id: UpstreamId) => byId.get(id),
	};
	const cachedOn = [program.previous.upstreamId];
	const candidates = sampleViews(directory, cachedOn, SETTINGS, draws.next);
	const request = {...toQueuedCall(program, NOW_MS), zone};
	chooseEngine(request, candidates, SETTINGS, draws.next);
};

/** Makes the ordering, capacity, fairness and retention decisions of an engine's dispatcher. */
const dispatch = (
	program: ProgramState,
	{queue, callerService}: DispatchContext,
): void => {
	queue[program.tokens % queue.length] = toQueuedCall(program, NOW_MS);
	let minServiceMs = Number.POSITIVE_INFINITY;
	for (const call of queue) {
		call.callerServiceMs = readService(callerService, call.callerId);
		minServiceMs = Math.min(minServiceMs, call.callerServiceMs);
	}

	const picked = pickNext(queue, NOW_MS, SETTINGS)!;
	hasCapacity(IN_FLIGHT, picked, SETTINGS);
	const tokens = {prefillTokens: 500, completionTokens: 150};
	const workMs = estimateWorkMs(tokens, readTuning(SETTINGS));
	recordService(callerService, picked.callerId, workMs, minServiceMs);
	decideRetention({...RETENTION, cachedTokens: program.tokens}, SETTINGS);
};

const measureSize = (size: FleetSize, seed: number): Row => {
	const draws = new RandomDraws(seed);
	const heapBytesBefore = readHeapBytes();
	const state = createState(size, draws);
	const stateBytes = readHeapBytes() - heapBytesBefore;
	const context = {
		queue: state.programs
			.slice(0, WAITING_CALLS)
			.map((program) => toQueuedCall(program, 0)),
		callerService: createCallerService(),
		draws,
	};
	const timesUs: number[] = [];
	for (let run = 0; run < WARM_UP_DECISIONS + DECISIONS; run++) {
		const index = draws.integer(0, size.programs - 1);
		const startedAt = performance.now();
		route(state, index, draws);
		dispatch(state.programs[index]!, context);
		if (run >= WARM_UP_DECISIONS) {
			timesUs.push((performance.now() - startedAt) * 1000);
		}
	}

	timesUs.sort((left, right) => left - right);
	return {
		scenario: 'target',
		load: `${size.servers} servers`,
		policy: 'marjoramcove',
		seed,
		...size,
		decisionMeanUs: computeMean(timesUs),
		decisionP50Us: computeQuantile(timesUs, 0.5),
		decisionP99Us: computeQuantile(timesUs, 0.99),
		stateBytes,
		stateBytesPerProgram: stateBytes / size.programs,
	};
};

/** Measures the cost of a decision at sizes from the current deployment up to the target size. */
export const runTarget = (seed: number): Row[] =>
	SIZES.map((size) => measureSize(size, seed));
