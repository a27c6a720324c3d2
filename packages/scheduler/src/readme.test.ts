import {
	asId,
	type CallerId,
	type ProgramId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';
import {expect, it} from 'vitest';
import {type EngineView, chooseEngine, pickNext, sampleViews} from './index.ts';

it('runs the shortest example in the README: the idle engine with the cached prefix is chosen', () => {
	const zone = asId<ZoneName>('zone-a');
	const views = [0, 1, 2].map((id): EngineView => ({
		upstreamId: asId<UpstreamId>(`engine-${id}`),
		zone,
		slots: 8,
		inFlight: 0,
		queued: 0,
		outstandingTokens: 0,
		cachedTokens: id === 1 ? 9000 : 0,
		cacheCapacityTokens: 100_000,
		relativeSpeed: 1,
		leaving: false,
		healthy: true,
	}));
	const directory = {
		count: views.length,
		viewAt: (position: number) => views[position]!,
		viewOf: (id: UpstreamId) => views.find((view) => view.upstreamId === id),
	};
	const previousUpstreamId = views[1]!.upstreamId;
	const request = {
		programId: asId<ProgramId>('p0-1'),
		promptTokens: 10_000,
		expectedCompletionTokens: 200,
		zone,
	};
	const waitingCall = {
		...request,
		callerId: asId<CallerId>('team-1'),
		requestId: 'r-1',
		queuedAtMs: 0,
		attainedTokens: 0,
		cachedTokens: 9000,
		turn: 1,
		priority: 0,
	};

	const settings = {latencyWeight: 1, cacheWeight: 1};
	const candidates = sampleViews(
		directory,
		[previousUpstreamId],
		settings,
		Math.random,
	);
	const view = chooseEngine(request, candidates, settings, Math.random);
	const call = pickNext([waitingCall], Date.now(), settings);

	expect(view?.upstreamId).toBe('engine-1');
	expect(call?.requestId).toBe('r-1');
});
