import {
	asId,
	type CallerId,
	type ProgramId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type CallerService,
	chooseEngine,
	compareCalls,
	createCallerService,
	DEFAULT_TUNING,
	type EngineView,
	isEligible,
	pickNext,
	type QueuedCall,
	readService,
	recordService,
} from './index.ts';

const settings = {latencyWeight: 1, cacheWeight: 1};
const zone = asId<ZoneName>('zone-a');
const viewArbitrary: fc.Arbitrary<EngineView> = fc.record({
	upstreamId: fc.nat(20).map((id) => asId<UpstreamId>(`engine-${id}`)),
	zone: fc.constant(zone),
	slots: fc.nat(8),
	inFlight: fc.nat(16),
	queued: fc.nat(16),
	outstandingTokens: fc.nat(100_000),
	cachedTokens: fc.nat(50_000),
	cacheCapacityTokens: fc.constant(400_000),
	relativeSpeed: fc.double({min: 0, max: 2, noNaN: true}),
	leaving: fc.boolean(),
	healthy: fc.boolean(),
});
const callArbitrary: fc.Arbitrary<QueuedCall> = fc.record({
	programId: fc.nat(30).map((id) => asId<ProgramId>(`p0-${id}`)),
	callerId: fc.nat(5).map((id) => asId<CallerId>(`caller-${id}`)),
	requestId: fc.uuid(),
	queuedAtMs: fc.nat(40_000),
	attainedTokens: fc.nat(100_000),
	promptTokens: fc.nat(100_000),
	cachedTokens: fc.nat(100_000),
	expectedCompletionTokens: fc.nat(1000),
	turn: fc.nat(200),
	priority: fc.integer({min: -1, max: 1}),
	deadlineMs: fc.option(fc.nat(100_000), {nil: undefined}),
	programStartedAtMs: fc.nat(40_000),
});
const callers = [0, 1, 2].map((id) => asId<CallerId>(`caller-${id}`));

/** Serves one call of three waiting callers, of which `prioritised` has the higher priority. */
const serveOnce = (
	callerService: CallerService,
	prioritised: CallerId,
	workMs: number,
) => {
	const queue = callers.map((callerId, id): QueuedCall => ({
		programId: asId<ProgramId>(`p0-${id}`),
		callerId,
		requestId: 'r-1',
		queuedAtMs: 0,
		attainedTokens: 0,
		promptTokens: 0,
		cachedTokens: 0,
		expectedCompletionTokens: 0,
		turn: 0,
		priority: callerId === prioritised ? 1 : 0,
		callerServiceMs: readService(callerService, callerId),
	}));
	const {callerId} = pickNext(queue, 0, settings)!;
	const services = queue.map((call) => call.callerServiceMs!);
	recordService(callerService, callerId, workMs, Math.min(...services));
};

const computeLeadMs = (callerService: CallerService) => {
	const services = callers.map((callerId) =>
		readService(callerService, callerId),
	);
	return Math.max(...services) - Math.min(...services);
};

const request = {
	programId: asId<ProgramId>('p0-1'),
	promptTokens: 20_000,
	expectedCompletionTokens: 200,
	zone,
};

describe('chooseEngine', () => {
	it('never chooses a leaving or unhealthy engine, and chooses an eligible one if there is any', () => {
		fc.assert(
			fc.property(
				fc.array(viewArbitrary),
				fc.double({min: 0, max: 0.99, noNaN: true}),
				(views, randomValue) => {
					const chosen = chooseEngine(
						request,
						views,
						settings,
						() => randomValue,
					);
					expect(chosen === undefined).toBe(
						!views.some((view) => isEligible(view)),
					);
					expect(
						chosen === undefined || (chosen.healthy && !chosen.leaving),
					).toBe(true);
					expect(
						chooseEngine(request, views, settings, () => randomValue),
					).toBe(chosen);
				},
			),
		);
	});

	it('keeps a program on a moderately slow engine, and moves it away from one that has almost stopped', () => {
		const views = (relativeSpeed: number) =>
			['other', 'cached'].map((id): EngineView => ({
				upstreamId: asId<UpstreamId>(id),
				zone,
				slots: 32,
				inFlight: 10,
				queued: 0,
				outstandingTokens: 0,
				cachedTokens: id === 'cached' ? 9000 : 0,
				cacheCapacityTokens: 600_000,
				relativeSpeed: id === 'cached' ? relativeSpeed : 1,
				leaving: false,
				healthy: true,
			}));
		const call = {
			...request,
			promptTokens: 10_000,
			expectedCompletionTokens: 120,
		};
		const choose = (relativeSpeed: number) =>
			chooseEngine(call, views(relativeSpeed), settings, () => 0)?.upstreamId;
		expect(choose(0.3)).toBe('cached');
		expect(choose(0.03)).toBe('other');
	});
});

describe('compareCalls', () => {
	it('is a total order, so that the queue order is independent of the insertion order', () => {
		fc.assert(
			fc.property(
				callArbitrary,
				callArbitrary,
				callArbitrary,
				fc.nat(80_000),
				(a, b, c, nowMs) => {
					const compare = (left: QueuedCall, right: QueuedCall) =>
						Math.sign(
							compareCalls(left, right, {
								nowMs,
								settings,
								tuning: DEFAULT_TUNING,
							}),
						);
					expect(compare(a, b) + compare(b, a)).toBe(0);
					expect(
						compare(a, b) <= 0 && compare(b, c) <= 0 && compare(a, c) > 0,
					).toBe(false);
					expect(compare(a, b) === 0).toBe(
						a.programId === b.programId && a.requestId === b.requestId,
					);
				},
			),
		);
	});
});

describe('pickNext', () => {
	it('serves starved calls before all others', () => {
		fc.assert(
			fc.property(fc.array(callArbitrary, {minLength: 1}), (queue) => {
				const nowMs = 40_000;
				const isStarved = (call: QueuedCall) =>
					nowMs - call.queuedAtMs >= DEFAULT_TUNING.starvationMs;
				const picked = pickNext(queue, nowMs, settings)!;
				expect(isStarved(picked)).toBe(queue.some((call) => isStarved(call)));
			}),
		);
	});

	it('bounds the service by which one caller exceeds another waiting caller', () => {
		fc.assert(
			fc.property(
				fc.array(fc.tuple(fc.nat(2), fc.integer({min: 1, max: 5000})), {
					minLength: 50,
					maxLength: 200,
				}),
				(steps) => {
					const callerService = createCallerService();
					for (const [prioritised, workMs] of steps) {
						serveOnce(callerService, callers[prioritised]!, workMs);
						expect(computeLeadMs(callerService)).toBeLessThanOrEqual(
							DEFAULT_TUNING.fairnessSlackMs + 5000,
						);
					}
				},
			),
		);
	});
});
