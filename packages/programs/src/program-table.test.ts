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
		programIndex: fc.nat(2),
		requestIndex: fc.nat(30),
		waitMs: fc.constantFrom(0, 1, 999, 7000, 61_000, 600_001),
	}),
	{minLength: 20, maxLength: 80},
);
type Choice = {
	action: number;
	programIndex: number;
	requestIndex: number;
	waitMs: number;
};

const createCommand = (choice: Choice, nowMs: number): ProgramCommand => {
	const programId = programIds[choice.programIndex]!;
	const requestId = asId<RequestId>(`r${choice.requestIndex}`);
	const content = 'text '.repeat(choice.requestIndex);
	const common = {nowMs, programId};
	switch (choice.action) {
		case 0: {
			return openCommand({...common, labels: {hall: `${choice.requestIndex}`}});
		}

		case 1: {
			return acceptCommand({
				...common,
				requestId,
				idempotent: choice.requestIndex % 3 > 0,
				messages: [{role: 'user', content}],
			});
		}

		case 2: {
			return settleCommand({...common, requestId});
		}

		case 3: {
			return {
				...settleCommand({...common, requestId}),
				outcome: {
					status: 'failed',
					verdict: 'not-run',
					reason: 'refused',
					message: '',
				},
			};
		}

		case 4: {
			return {type: 'end-program', ...common, reason: 'done'};
		}

		default: {
			return {type: 'expire-programs', nowMs};
		}
	}
};

/** Whether any program needs work, found by checking all programs without the index. */
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
	it('give the same results and bytes after a snapshot at any point', () => {
		// Guards against replicas that diverge, and against due programs that the index misses.
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

					const command = createCommand(choice, nowMs);
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

	it('keep the offsets of entries that are interleaved with those of other programs', () => {
		// Guards against a history that is read from the range of another program.
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
				const common = {programId, requestId};
				for (const command of [acceptCommand(common), settleCommand(common)]) {
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

	it('rejects a truncated snapshot', () => {
		// Guards against programs that are lost without an error.
		const state = createProgramsState(0);
		stepPrograms(state, openCommand({}));
		stepPrograms(state, openCommand({programId: programIds[1]!}));
		const [first] = [...state.programs.rows()];
		const bytes = encodePrograms(state);
		const cut = bytes.length - first![0].length - first![1].length - 2;
		expect(() => decodePrograms(bytes.subarray(0, cut))).toThrow('1 of 2');
	});
});
