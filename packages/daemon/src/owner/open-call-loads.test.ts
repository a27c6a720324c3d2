import type {ProgramCommand} from '@marjoramcove/programs';
import {
	asId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {estimateAppliedCallWork} from './estimate-call-work.ts';
import {estimateEngineWork} from './estimate-engine-work.ts';
import {OpenCallLoads} from './open-call-loads.ts';
import type {OwnerCore} from './owner-core.ts';

const engine = asId<UpstreamId>('engine-1');

const createCallLoad = (programId: string, prefillTokens: number) => ({
	programId: asId<ProgramId>(programId),
	requestId: asId<RequestId>('r1'),
	upstreamId: engine,
	work: {calls: 1, prefillTokens, completionTokens: 10},
});

const createCore = (
	report: {running: number; waiting: number; ageMs: number} | undefined,
) =>
	({
		context: {settings: {policy: {latencyWeight: 1, cacheWeight: 1}}},
		upstreams: {lastReport: () => report},
	}) as unknown as OwnerCore;

describe('OpenCallLoads', () => {
	it('removes the calls of a shard whose state a snapshot replaced', () => {
		// Guards against work that stays counted because its settlement was part of a snapshot.
		const loads = new OpenCallLoads();
		loads.add(createCallLoad('p0-a', 100));
		loads.add(createCallLoad('p1-b', 200));
		loads.replaceShard(0, [createCallLoad('p0-c', 30)]);
		expect(loads.openWork(engine)).toEqual({
			calls: 2,
			prefillTokens: 230,
			completionTokens: 20,
		});
		loads.replaceShard(1, []);
		loads.remove(createCallLoad('p0-c', 30));
		loads.remove(createCallLoad('p0-c', 30));
		expect(loads.openWork(engine).calls).toBe(0);
	});

	describe('estimateEngineWork', () => {
		const call = {prefillTokens: 500, completionTokens: 50};

		it('adds the calls that were accepted after a report', () => {
			// Guards against a burst of calls to the engine that was idle at its last report.
			const loads = new OpenCallLoads();
			loads.add(createCallLoad('p0-a', 100));
			loads.recordReport(engine);
			loads.add(createCallLoad('p0-b', 100));
			const core = createCore({running: 3, waiting: 1, ageMs: 500});
			expect(estimateEngineWork(core, loads, engine, call)).toEqual({
				calls: 5,
				prefillTokens: 500,
				completionTokens: 50,
			});
		});

		it('ignores a report that is too old', () => {
			// Guards against an engine that never gets work again because it was busy at its last report.
			const loads = new OpenCallLoads();
			loads.add(createCallLoad('p0-a', 100));
			const core = createCore({running: 30, waiting: 10, ageMs: 3500});
			expect(estimateEngineWork(core, loads, engine, call).calls).toBe(1);
			expect(
				estimateEngineWork(createCore(undefined), loads, engine, call).calls,
			).toBe(1);
		});
	});

	describe('estimateAppliedCallWork', () => {
		it('counts only the new messages when the engine has the rest cached', () => {
			// Guards against overestimated load from long programs on the engine that has them cached.
			const call = {upstreamId: engine, reservedTokens: 2000};
			const command = {
				type: 'accept-call',
				messages: [{role: 'user', content: 'x'.repeat(400)}],
			} as unknown as ProgramCommand;
			const estimateWork = (engineBefore: UpstreamId | undefined) =>
				estimateAppliedCallWork(
					command,
					call,
					{historyBytes: 4000},
					{bytesPerToken: 4, engineBefore},
				);
			expect(estimateWork(engine)).toEqual({
				calls: 1,
				prefillTokens: 100,
				completionTokens: 256,
			});
			expect(estimateWork(undefined).prefillTokens).toBe(1000);
		});
	});
});
