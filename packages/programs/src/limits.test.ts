import {asId, type ProgramId, type RequestId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	acceptCommand,
	createIntent,
	openCommand,
	settleCommand,
} from './commands.fixture.ts';
import {
	createProgramsState,
	describeProgram,
	findRequest,
	historyEntries,
	findHistoryStartOffset,
	pendingReleases,
	type ProgramCommand,
	stepPrograms,
} from './index.ts';

const programId = asId<ProgramId>('p0-a');
const requestId = (text: string) => asId<RequestId>(text);

/** Opens the program `p0-a` in a new shard and applies the commands. */
const run = (commands: ProgramCommand[]) => {
	const budget = {tokens: 1000, turns: 2, wallTimeMs: 60_000};
	const state = createProgramsState(0);
	const results = [openCommand({budget}), ...commands].map(
		(command) => stepPrograms(state, command).result,
	);
	return {state, result: results.at(-1)!};
};

const createTurn = (id: string): ProgramCommand[] => [
	acceptCommand({requestId: requestId(id)}),
	settleCommand({requestId: requestId(id)}),
];

describe('limits', () => {
	it('ends a program at its turn limit and releases its engine memory', () => {
		// Guards against an endless loop that keeps engine memory.
		const {state, result} = run([
			...createTurn('r1'),
			...createTurn('r2'),
			createTurn('r3')[0]!,
		]);
		expect(result).toMatchObject({
			outcome: 'refused',
			reason: 'turn-limit',
			verdict: 'not-run',
			ended: true,
		});
		expect(pendingReleases(state)).toHaveLength(1);
	});

	it('settles a hung tool call as tool-timeout with the verdict may-have-run', () => {
		// Guards against a hung tool that blocks its program.
		const {state, result} = run([
			acceptCommand({kind: 'tool', idempotent: false, timeoutMs: 2000}),
			{type: 'expire-programs', nowMs: 7999},
			{type: 'expire-programs', nowMs: 8000},
		]);
		expect(result).toMatchObject({cancelled: [{reason: 'tool-timeout'}]});
		expect(findRequest(state, programId, requestId('r1'))).toMatchObject({
			record: {outcome: {verdict: 'may-have-run', reason: 'tool-timeout'}},
		});
	});

	it('ends a program at its wall time and bounds the timeout of a call', () => {
		// Guards against a call that continues after the wall time of its program.
		const {state, result} = run([
			acceptCommand({nowMs: 59_000, timeoutMs: 30_000}),
			{type: 'expire-programs', nowMs: 61_000},
		]);
		expect(result).toMatchObject({
			ended: [{programId, reason: 'wall-time-limit'}],
			cancelled: [{requestId: 'r1', reason: 'wall-time-limit'}],
		});
		expect(describeProgram(state, programId)).toMatchObject({
			phase: 'ending',
			tokens: {spent: 100, reserved: 0},
		});
	});

	it('refuses a call whose maximum token use exceeds the free budget', () => {
		// Guards against a token budget that is exceeded.
		const {result} = run([acceptCommand({reservedTokens: 1001})]);
		expect(result).toMatchObject({reason: 'token-budget', verdict: 'not-run'});
	});

	it('charges the reservation of a lost attempt and ignores its late answer', () => {
		// Guards against a late answer that is recorded, and against a lost attempt that is not charged.
		const retry: ProgramCommand = {
			type: 'retry-call',
			nowMs: 2000,
			programId,
			requestId: requestId('r1'),
			lostAttempt: 1,
			reservedTokens: 100,
			intent: createIntent({attempt: 2}),
		};
		const {state, result} = run([
			acceptCommand({}),
			retry,
			settleCommand({attempt: 1}),
		]);
		expect(result).toEqual({outcome: 'ignored', reason: 'attempt-superseded'});
		expect(describeProgram(state, programId)?.tokens).toMatchObject({
			spent: 100,
			reserved: 100,
		});
		const tool = run([acceptCommand({idempotent: false}), retry]);
		expect(tool.result).toMatchObject({reason: 'not-idempotent'});
	});

	it('refuses a request id with another body and an unexpected turn', () => {
		// Guards against two calls that share one record.
		const reused = run([acceptCommand({}), acceptCommand({bodyHash: 'b2'})]);
		expect(reused.result).toMatchObject({reason: 'request-id-reused'});
		const early = run([acceptCommand({expectedTurn: 2})]);
		expect(early.result).toMatchObject({reason: 'turn-out-of-order'});
	});

	it('does not reopen a program from a delayed duplicate after its tombstone is dropped', () => {
		// Guards against an ended program that runs again.
		const end = {type: 'end-program', nowMs: 2000, programId, reason: 'done'};
		const {state, result} = run([
			end as ProgramCommand,
			{type: 'expire-programs', nowMs: 700_000},
			openCommand({}),
		]);
		expect(result).toMatchObject({reason: 'command-too-old'});
		expect(state.programs.size).toBe(0);
	});

	it('still refuses delayed duplicates when the retention is raised', () => {
		// Guards against an ended program that runs again after the setting is changed.
		const expire = (nowMs: number, endedProgramRetentionMs: number) => ({
			type: 'expire-programs' as const,
			nowMs,
			endedProgramRetentionMs,
		});
		const {state, result} = run([
			{type: 'end-program', nowMs: 2000, programId, reason: 'done'},
			expire(20_000, 5000),
			expire(21_000, 600_000),
			openCommand({nowMs: 14_000}),
		]);
		expect(result).toMatchObject({reason: 'command-too-old'});
		expect(state.programs.size).toBe(0);
		const late = stepPrograms(state, acceptCommand({nowMs: 22_000}));
		expect(late.result).toMatchObject({
			outcome: 'refused',
			reason: 'program-unknown',
		});
	});

	it('frees only the history of dropped programs', () => {
		// Guards against deleting a history that can still be read, and against a disk that fills up.
		const other = asId<ProgramId>('p0-b');
		const state = createProgramsState(0);
		for (const command of [
			openCommand({}),
			...createTurn('r1'),
			openCommand({programId: other}),
			acceptCommand({programId: other}),
			{type: 'end-program', nowMs: 2000, programId, reason: 'done'},
		] as ProgramCommand[]) {
			stepPrograms(state, command);
		}

		expect(findHistoryStartOffset(state)).toBe(0);
		const [release] = pendingReleases(state);
		stepPrograms(state, {type: 'record-release', nowMs: 2000, ...release!});
		stepPrograms(state, {
			type: 'expire-programs',
			nowMs: 9000,
			endedProgramRetentionMs: 5000,
		});
		expect(state.programs.size).toBe(1);
		expect(findHistoryStartOffset(state)).toBe(
			historyEntries(state, other)[0]!.offset,
		);
		expect(findHistoryStartOffset(state)).toBeGreaterThan(0);
	});
});
