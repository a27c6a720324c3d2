import {asId, type ProgramId, type RequestId} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {acceptCommand, openCommand, settleCommand} from './commands.fixture.ts';
import {
	createProgramsState,
	decodePrograms,
	encodePrograms,
	historyEntries,
	isExpiryDue,
	type ProgramCommand,
	type ProgramsState,
	stepPrograms,
} from './index.ts';

const programIds = ['p0-a', 'p0-b', 'p0-c'].map((id) => asId<ProgramId>(id));

const commands = fc.array(
	fc.record({
		action: fc.nat(5),
		program: fc.nat(2),
		request: fc.nat(30),
		waitMs: fc.constantFrom(0, 1, 999, 7000, 61_000, 600_001),
	}),
	{minLength: 20, maxLength: 80},
);
type Choice = {
	action: number;
	program: number;
	request: number;
	waitMs: number;
};

const commandOf = (choice: Choice, nowMs: number): ProgramCommand => {
	const programId = programIds[choice.program]!;
	const requestId = asId<RequestId>(`r${choice.request}`);
	const content = 'text '.repeat(choice.request);
	const head = {nowMs, programId};
	switch (choice.action) {
		case 0: {
			return openCommand({...head, labels: {hall: `${choice.request}`}});
		}

		case 1: {
			return acceptCommand({
				...head,
				requestId,
				idempotent: choice.request % 3 > 0,
				messages: [{role: 'user', content}],
			});
		}

		case 2: {
			return settleCommand({...head, requestId});
		}

		case 3: {
			return {
				...settleCommand({...head, requestId}),
				outcome: {
					status: 'failed',
					verdict: 'not-run',
					reason: 'refused',
					message: '',
				},
			};
		}

		case 4: {
			return {type: 'end-program', ...head, reason: 'done'};
		}

		default: {
			return {type: 'expire-programs', nowMs};
		}
	}
};

/** Whether a look at all programs finds something that is due. */
const isAnyDue = (state: ProgramsState, nowMs: number): boolean =>
	[...state.programs.keys()].some((programId) => {
		const {call, deadlineMs, endedAtMs} = state.programs.get(programId)!;
		const {callGraceMs, tombstoneRetentionMs} = state.limits;
		return endedAtMs === undefined
			? nowMs >= deadlineMs ||
					(call !== undefined &&
						nowMs >= call.attemptAtMs + call.timeoutMs + callGraceMs)
			: state.programs.get(programId)!.holds.length === 0 &&
					nowMs - endedAtMs > tombstoneRetentionMs + 61_000;
	});

describe('packed programs', () => {
	it('give the same results and bytes after a snapshot at any point (failure: replicas differ, or a due program is missed)', () => {
		fc.assert(
			fc.property(commands, (choices) => {
				const state = createProgramsState(0);
				let restored = createProgramsState(0);
				let nowMs = 1000;
				for (const choice of choices) {
					nowMs += choice.waitMs;
					if (isAnyDue(state, nowMs)) {
						expect(isExpiryDue(state, nowMs)).toBe(true);
						expect(isExpiryDue(restored, nowMs)).toBe(true);
					}

					const command = commandOf(choice, nowMs);
					const expected = stepPrograms(state, command);
					const found = stepPrograms(restored, command);
					expect(found.result).toEqual(expected.result);
					expect(found.appended).toEqual(expected.appended);
					const bytes = encodePrograms(restored);
					expect(Buffer.compare(bytes, encodePrograms(state))).toBe(0);
					restored = decodePrograms(bytes);
				}
			}),
			{seed: 20_261_205, numRuns: 100},
		);
	});

	it('keep offsets and lengths of entries between those of other programs (failure: a history is read from another program)', () => {
		const state = createProgramsState(0);
		const offsets = new Map<ProgramId, number[]>();
		let offset = 0;
		for (const programId of programIds) {
			stepPrograms(state, openCommand({programId}));
			offsets.set(programId, []);
		}

		for (let turn = 0; turn < 5; turn++) {
			for (const programId of programIds) {
				const requestId = asId<RequestId>(`r${turn}`);
				const head = {programId, requestId};
				for (const command of [acceptCommand(head), settleCommand(head)]) {
					for (const text of stepPrograms(state, command).appended) {
						offsets.get(programId)!.push(offset);
						offset += Buffer.byteLength(text.content);
					}
				}
			}
		}

		for (const programId of programIds) {
			expect(
				historyEntries(state, programId).map((entry) => entry.offset),
			).toEqual(offsets.get(programId));
		}
	});

	it('refuses a snapshot that ends too early (failure: programs are lost without a word)', () => {
		const state = createProgramsState(0);
		stepPrograms(state, openCommand({}));
		stepPrograms(state, openCommand({programId: programIds[1]!}));
		const [first] = [...state.programs.rows()];
		const bytes = encodePrograms(state);
		const cut = bytes.length - first![0].length - first![1].length - 2;
		expect(() => decodePrograms(bytes.subarray(0, cut))).toThrow('1 of 2');
	});
});
