import {
	createProgramsState,
	type ProgramCommand,
	stepPrograms,
} from '@marjoramcove/programs';
import type {EngineView} from '@marjoramcove/scheduler';
import {
	asId,
	type CallerId,
	type ProgramId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {describeFleetLoad} from './admit-model-call.ts';
import {CallerPrograms} from './caller-programs.ts';

const caller = asId<CallerId>('caller-1');
const other = asId<CallerId>('caller-2');

const createOpenCommand = (
	programId: string,
	callerId: CallerId,
	turns = 5,
): ProgramCommand => ({
	type: 'open-program',
	nowMs: 1000,
	programId: asId<ProgramId>(programId),
	callerId,
	labels: {},
	budget: {tokens: 1000, turns, wallTimeMs: 5000},
});

const createAcceptCommand = (programId: string): ProgramCommand =>
	({
		type: 'accept-call',
		nowMs: 1100,
		programId,
		requestId: 'r1',
		bodyHash: '1',
		kind: 'model',
		idempotent: true,
		messages: [],
		reservedTokens: 1,
		timeoutMs: 1000,
		intent: {
			attempt: 1,
			upstreamId: 'engine-1',
			dispatcherId: 'd1',
			dispatcherIncarnation: 'i1',
		},
	}) as unknown as ProgramCommand;

/** Applies commands to the state of a shard and to the counts. */
const applyAll = (commands: ProgramCommand[]) => {
	const counts = new CallerPrograms();
	let state = createProgramsState(0);
	for (const command of commands) {
		const step = stepPrograms(state, command);
		state = step.state;
		counts.recordApplied(state, command, step.result);
	}

	return {counts, state};
};

describe('CallerPrograms', () => {
	it('counts each opening and each kind of end once', () => {
		// Guards against counts that drift, so that a caller is permanently refused or preferred.
		const end: ProgramCommand = {
			type: 'end-program',
			nowMs: 1200,
			programId: asId<ProgramId>('p0-b'),
			reason: 'done',
		};
		const commands = [
			createOpenCommand('p0-a', caller),
			createOpenCommand('p0-a', caller),
			createOpenCommand('p0-b', caller),
			createOpenCommand('p0-c', other),
			createOpenCommand('p0-d', other, 0),
			{...createOpenCommand('p0-e', caller), parentId: asId<ProgramId>('p1-x')},
			end,
			end,
			createAcceptCommand('p0-d'),
			createAcceptCommand('p0-d'),
		] as ProgramCommand[];
		const {counts, state} = applyAll(commands);
		expect(state.programs.get(asId<ProgramId>('p0-d'))?.endedReason).toBe(
			'turn-limit',
		);
		expect(counts.countOthers(caller)).toEqual({
			callerPrograms: 1,
			programs: 2,
			activeCallers: 2,
		});
		const recounted = new CallerPrograms();
		recounted.recount(state);
		recounted.recount(state);
		expect(recounted.countOthers(caller)).toEqual(counts.countOthers(caller));
		const expired = applyAll([
			...commands,
			{type: 'expire-programs', nowMs: 7000},
		]);
		expect(expired.counts.countOthers(caller)).toEqual({
			callerPrograms: 0,
			programs: 0,
			activeCallers: 0,
		});
	});

	it('excludes the program whose call is being admitted', () => {
		// Guards against a caller whose first program never gets the allowance of small callers.
		const {counts} = applyAll([
			createOpenCommand('p0-a', caller),
			createOpenCommand('p0-b', other),
			createOpenCommand('p0-c', other),
		]);
		expect(counts.countOthers(caller)).toEqual({
			callerPrograms: 0,
			programs: 2,
			activeCallers: 1,
		});
	});

	describe('describeFleetLoad', () => {
		it('sums the load of the eligible sampled engines', () => {
			// Guards against refusals because of one busy engine among idle ones.
			const view = (changes: Partial<EngineView>): EngineView => ({
				upstreamId: asId<UpstreamId>('engine-1'),
				zone: asId<ZoneName>('zone-a'),
				cachedTokens: 0,
				slots: 8,
				inFlight: 8,
				queued: 2,
				outstandingTokens: 1100,
				outstandingCompletionTokens: 100,
				cacheCapacityTokens: 1000,
				cacheUsedTokens: 500,
				relativeSpeed: 1,
				leaving: false,
				healthy: true,
				...changes,
			});
			const policy = {
				latencyWeight: 1,
				cacheWeight: 1,
				tuning: {prefillMsPerToken: 0.1, decodeMsPerToken: 1},
			};
			const counts = {callerPrograms: 1, programs: 2, activeCallers: 2};
			expect(
				describeFleetLoad(
					[
						view({}),
						view({relativeSpeed: 0.5}),
						view({leaving: true}),
						view({healthy: false}),
					],
					counts,
					policy,
				),
			).toEqual({
				engines: 2,
				slots: 16,
				inFlight: 16,
				queued: 4,
				outstandingWorkMs: 600,
				cacheUsedTokens: 1000,
				cacheCapacityTokens: 2000,
				...counts,
			});
		});
	});
});
