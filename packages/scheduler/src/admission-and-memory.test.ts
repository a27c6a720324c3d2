import {
	asId,
	type CallerId,
	type ProgramId,
	type UpstreamId,
} from '@marjoramcove/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	admitCall,
	createEngineSpeeds,
	decideRetention,
	estimateOpenWork,
	type FleetLoad,
	hasCapacity,
	readRelativeSpeed,
	recordSpeed,
} from './index.ts';

const settings = {latencyWeight: 1, cacheWeight: 1};
const idle: FleetLoad = {
	engines: 2,
	slots: 64,
	inFlight: 10,
	queued: 0,
	outstandingWorkMs: 500,
	cacheUsedTokens: 0,
	cacheCapacityTokens: 1_200_000,
	callerPrograms: 1,
	programs: 10,
	activeCallers: 10,
};
const overloaded = {
	...idle,
	inFlight: 64,
	queued: 64,
	outstandingWorkMs: 8000,
};
const call = {
	programId: asId<ProgramId>('p0-1'),
	callerId: asId<CallerId>('team-1'),
	isNewProgram: true,
};

describe('admitCall', () => {
	it('refuses new programs under overload and still admits calls of running ones', () => {
		expect(admitCall(idle, call, 0, settings)).toEqual({admitted: true});
		expect(admitCall(overloaded, call, 0, settings)).toMatchObject({
			reason: 'overloaded',
		});
		const running = {...call, isNewProgram: false};
		expect(admitCall(overloaded, running, 0, settings).admitted).toBe(true);
	});

	it('never admits a caller with more programs when it refuses it with fewer', () => {
		fc.assert(
			fc.property(
				fc.nat(2000),
				fc.nat(64),
				fc.nat(20),
				(outstandingWorkMs, queued, callerPrograms) => {
					const load = {...overloaded, outstandingWorkMs, queued};
					const admit = (programs: number) =>
						admitCall({...load, callerPrograms: programs}, call, 0, settings)
							.admitted;
					expect(admit(callerPrograms + 1) && !admit(callerPrograms)).toBe(
						false,
					);
				},
			),
		);
	});

	it('refuses a program that cannot meet its deadline, and every call when there are no engines', () => {
		const late = {...call, deadlineMs: 1000, expectedProgramMs: 2000};
		expect(admitCall(idle, late, 0, settings)).toMatchObject({
			reason: 'deadline-unreachable',
		});
		const running = {...call, isNewProgram: false};
		const none = {...idle, engines: 0};
		expect(admitCall(none, running, 0, settings).admitted).toBe(false);
	});
});

describe('hasCapacity', () => {
	it('limits in-flight calls to the slots and the memory, and accepts any call on an idle engine', () => {
		const load = {
			slots: 4,
			inFlight: 1,
			inFlightTokens: 50_000,
			cacheCapacityTokens: 100_000,
		};
		const small = {promptTokens: 5000, expectedCompletionTokens: 100};
		const large = {promptTokens: 90_000, expectedCompletionTokens: 100};
		expect(hasCapacity(load, small, settings)).toBe(true);
		expect(hasCapacity(load, large, settings)).toBe(false);
		expect(hasCapacity({...load, inFlight: 4}, small, settings)).toBe(false);
		expect(hasCapacity({...load, inFlight: 0}, large, settings)).toBe(true);
	});
});

describe('decideRetention', () => {
	it('drops the cache of an ended program, and exports a cache only when it fits', () => {
		fc.assert(
			fc.property(
				fc.nat(100_000),
				fc.nat(100_000),
				fc.boolean(),
				(cachedTokens, exportFreeTokens, programEnded) => {
					const decision = decideRetention(
						{
							cachedTokens,
							exportFreeTokens,
							programEnded,
							expectedPauseMs: 20_000,
							cacheUsedTokens: 95_000,
							cacheCapacityTokens: 100_000,
						},
						settings,
					);
					const fits = cachedTokens <= exportFreeTokens;
					expect(decision).toBe(
						programEnded ? 'drop' : fits ? 'export' : 'keep',
					);
				},
			),
		);
	});
});

describe('estimateOpenWork', () => {
	const work = (calls: number) => ({
		calls,
		prefillTokens: 0,
		completionTokens: 0,
	});

	it('adds local records to a fresh report, and ignores a stale one', () => {
		const input = {
			report: work(10),
			ownAtReport: work(4),
			own: work(6),
			dispatchers: 4,
		};
		const estimate = (reportAgeMs: number) =>
			estimateOpenWork({...input, reportAgeMs}, settings).calls;
		expect(estimate(500)).toBe(12);
		expect(estimate(60_000)).toBe(24);
	});
});

describe('recordSpeed', () => {
	it('reports an engine at a third of the normal speed as slow, and engines at normal speed as equal', () => {
		let speeds = createEngineSpeeds();
		const ids = [0, 1, 2, 3].map((id) => asId<UpstreamId>(`engine-${id}`));
		for (let round = 0; round < 100; round++) {
			for (const id of ids) {
				speeds = recordSpeed(speeds, id, id === ids[0] ? 3 : 1);
			}
		}

		expect(readRelativeSpeed(speeds, ids[0]!)).toBeLessThan(0.6);
		expect(readRelativeSpeed(speeds, ids[1]!)).toBe(1);
		expect(readRelativeSpeed(speeds, asId<UpstreamId>('new'))).toBe(1);
	});
});
