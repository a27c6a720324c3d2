import {
	asId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	createProgramsState,
	describeProgram,
	pendingReleases,
	type ProgramCommand,
	stepPrograms,
} from './index.ts';
import {acceptCommand, openCommand, settleCommand} from './commands.fixture.ts';

const programId = asId<ProgramId>('p0-a');
const requestId = asId<RequestId>('r1');

describe('stepPrograms', () => {
	describe('accept-call', () => {
		it('answers a repeated request id from its record', () => {
			// Guards against a call that runs twice because its answer was lost.
			let {state} = stepPrograms(createProgramsState(0), openCommand({}));
			const accept = acceptCommand({});
			expect(stepPrograms(state, accept).result.outcome).toBe('accepted');
			expect(stepPrograms(state, accept).result.outcome).toBe('in-progress');
			({state} = stepPrograms(state, settleCommand({})));
			expect(stepPrograms(state, accept).result).toMatchObject({
				outcome: 'recorded',
				record: {turn: 1, outcome: {verdict: 'ran'}},
			});
			expect(describeProgram(state, programId)?.tokens).toEqual({
				limit: 1000,
				spent: 40,
				reserved: 0,
				carvedOut: 0,
			});
			expect(requestId).toBe(accept.requestId);
		});
	});

	describe('record-hold', () => {
		const hold = {
			type: 'record-hold',
			nowMs: 1000,
			programId,
			upstreamId: asId<UpstreamId>('copy-1'),
		} as const;
		const run = (...commands: ProgramCommand[]) => {
			const state = createProgramsState(0);
			let outcome = '';
			for (const command of commands) {
				outcome = stepPrograms(state, command).result.outcome;
			}

			return {state, outcome};
		};

		it('is released after the end of the program and is older than the hold of the next call', () => {
			// Guards against an exported copy that is never released.
			const {state, outcome} = run(
				openCommand({}),
				acceptCommand({}),
				settleCommand({}),
				hold,
				hold,
			);
			expect(outcome).toBe('done');
			const newest = () =>
				describeProgram(state, programId)!.holds.toSorted(
					(a, b) => b.heldTurn - a.heldTurn,
				)[0]!.upstreamId;
			expect(newest()).toBe('copy-1');
			stepPrograms(state, acceptCommand({requestId: asId<RequestId>('r2')}));
			expect(newest()).not.toBe('copy-1');
			stepPrograms(state, {
				type: 'end-program',
				nowMs: 2000,
				programId,
				reason: 'ended',
			});
			expect(
				pendingReleases(state).map(({upstreamId}) => upstreamId),
			).toContain('copy-1');
		});

		it('is refused during a call and after the end of the program', () => {
			// Guards against a hold that is never released.
			expect(run(openCommand({}), acceptCommand({}), hold).outcome).toBe(
				'refused',
			);
			expect(
				run(
					openCommand({}),
					{type: 'end-program', nowMs: 1000, programId, reason: 'ended'},
					hold,
				).outcome,
			).toBe('refused');
		});
	});

	describe('record-release', () => {
		it('ignores a delayed duplicate after the program used the engine again and ended', () => {
			// Guards against engine memory that is still allocated but has no hold.
			const state = createProgramsState(0);
			for (const command of [
				openCommand({}),
				acceptCommand({}),
				settleCommand({}),
			]) {
				stepPrograms(state, command);
			}

			const [hold] = describeProgram(state, programId)!.holds;
			const release = {
				type: 'record-release',
				nowMs: 1000,
				programId,
				...hold!,
			} as const;
			stepPrograms(state, release);
			stepPrograms(state, acceptCommand({requestId: asId<RequestId>('r2')}));
			stepPrograms(state, {
				type: 'end-program',
				nowMs: 2000,
				programId,
				reason: 'ended',
			});
			for (const duplicate of [release, {...release, heldTurn: undefined}]) {
				expect(stepPrograms(state, duplicate).result.outcome).toBe('ignored');
			}

			expect(pendingReleases(state)).toHaveLength(1);
		});
	});
});
