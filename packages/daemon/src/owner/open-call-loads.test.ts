import type {ProgramCommand} from '@marjoramcove/programs';
import {
	asId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {describeAppliedWork} from './describe-work.ts';
import {estimateEngineWork} from './estimate-engine-work.ts';
import {OpenCallLoads} from './open-call-loads.ts';
import type {OwnerCore} from './owner-core.ts';

const engine = asId<UpstreamId>('engine-1');

const callOf = (programId: string, prefillTokens: number) => ({
	programId: asId<ProgramId>(programId),
	requestId: asId<RequestId>('r1'),
	upstreamId: engine,
	work: {calls: 1, prefillTokens, completionTokens: 10},
});

const coreWith = (
	report: {running: number; waiting: number; ageMs: number} | undefined,
) =>
	({
		context: {settings: {policy: {latencyWeight: 1, cacheWeight: 1}}},
		upstreams: {lastReport: () => report},
	}) as unknown as OwnerCore;

describe('OpenCallLoads', () => {
	it('forgets the calls of a shard that a snapshot replaced', () => {
		// Guards against work that stays counted for ever because its settlement was in a snapshot.
		const loads = new OpenCallLoads();
		loads.add(callOf('p0-a', 100));
		loads.add(callOf('p1-b', 200));
		loads.replaceShard(0, [callOf('p0-c', 30)]);
		expect(loads.own(engine)).toEqual({
			calls: 2,
			prefillTokens: 230,
			completionTokens: 20,
		});
		loads.replaceShard(1, []);
		loads.remove(callOf('p0-c', 30));
		loads.remove(callOf('p0-c', 30));
		expect(loads.own(engine).calls).toBe(0);
	});

	describe('estimateEngineWork', () => {
		const call = {prefillTokens: 500, completionTokens: 50};

		it('adds to a report what was sent after it', () => {
			// Guards against a burst to the engine that was idle at its last report.
			const loads = new OpenCallLoads();
			loads.add(callOf('p0-a', 100));
			loads.noteReport(engine);
			loads.add(callOf('p0-b', 100));
			const core = coreWith({running: 3, waiting: 1, ageMs: 500});
			expect(estimateEngineWork(core, loads, engine, call)).toEqual({
				calls: 5,
				prefillTokens: 500,
				completionTokens: 50,
			});
		});

		it('passes over a report that is too old', () => {
			// Guards against an engine that gets no work for ever because it was busy at its last report.
			const loads = new OpenCallLoads();
			loads.add(callOf('p0-a', 100));
			const core = coreWith({running: 30, waiting: 10, ageMs: 3500});
			expect(estimateEngineWork(core, loads, engine, call).calls).toBe(1);
			expect(
				estimateEngineWork(coreWith(undefined), loads, engine, call).calls,
			).toBe(1);
		});
	});

	describe('describeAppliedWork', () => {
		it('counts only the new messages when the engine has the rest cached', () => {
			// Guards against long programs that count as heavy load on the engine that has them cached.
			const call = {upstreamId: engine, reservedTokens: 2000};
			const command = {
				type: 'accept-call',
				messages: [{role: 'user', content: 'x'.repeat(400)}],
			} as unknown as ProgramCommand;
			const workOn = (engineBefore: UpstreamId | undefined) =>
				describeAppliedWork(
					command,
					call,
					{historyBytes: 4000},
					{bytesPerToken: 4, engineBefore},
				);
			expect(workOn(engine)).toEqual({
				calls: 1,
				prefillTokens: 100,
				completionTokens: 256,
			});
			expect(workOn(undefined).prefillTokens).toBe(1000);
		});
	});
});
