import fc from 'fast-check';
import {
	asId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {findChain} from './find-chain.ts';
import {stepTurns} from './step-turns.ts';
import {encodeTurnCommand, TurnsMachine} from './turns-machine.ts';
import {
	createTurnsState,
	type FinishedTurn,
	type LastTurn,
	type TurnsState,
} from './turns-state.ts';

const programId = asId<ProgramId>('program-1');
const id = (text: string) => asId<RequestId>(text);

const reserve = (
	state: TurnsState,
	requestId: string,
	maxTokens: number,
	nowMs = 0,
) =>
	stepTurns(state, {
		type: 'reserve',
		nowMs,
		programId,
		requestId: id(requestId),
		budgetTokens: 100,
		maxTokens,
		retentionMs: 1000,
	}).result;

const settle = (
	state: TurnsState,
	requestId: string,
	{
		usedTokens = 10,
		turn,
		nowMs = 0,
		last,
	}: {
		usedTokens?: number;
		turn?: FinishedTurn;
		nowMs?: number;
		last?: LastTurn;
	} = {},
) =>
	stepTurns(state, {
		type: 'settle',
		nowMs,
		programId,
		requestId: id(requestId),
		usedTokens,
		retentionMs: 1000,
		last,
		turn,
	});

const createTurn = (text: string, previousId?: string): FinishedTurn => ({
	previousId: previousId === undefined ? undefined : id(previousId),
	text: Buffer.from(text),
	retentionMs: 1000,
});

describe('stepTurns', () => {
	describe('budget', () => {
		it('refuses a turn that could exceed the budget together with the open turns', () => {
			const state = createTurnsState();
			expect(reserve(state, 'a', 60).status).toBe('granted');
			expect(reserve(state, 'b', 60).status).toBe('budget-spent');
			settle(state, 'a', {usedTokens: 20});
			expect(reserve(state, 'c', 60).status).toBe('granted');
		});

		it('charges a turn only once when its settlement is repeated', () => {
			const state = createTurnsState();
			reserve(state, 'a', 60);
			settle(state, 'a', {usedTokens: 50});
			expect(settle(state, 'a', {usedTokens: 50}).result.status).toBe(
				'already-settled',
			);
			expect(reserve(state, 'b', 50).status).toBe('granted');
		});

		it('returns the server of the last settled turn with the next reservation', () => {
			const state = createTurnsState();
			reserve(state, 'a', 10);
			const last = {serverId: asId<UpstreamId>('s1'), contextTokens: 900};
			settle(state, 'a', {last});
			settle(state, 'unsent', {usedTokens: 0});
			expect(reserve(state, 'b', 10)).toEqual({
				status: 'granted',
				last,
			});
		});

		it('does not let a settled turn run again', () => {
			const state = createTurnsState();
			reserve(state, 'a', 60);
			settle(state, 'a', {usedTokens: 0});
			expect(reserve(state, 'a', 60).status).toBe('already-settled');
		});

		it('is not exceeded in any order of reservations and settlements', () => {
			const events = fc.array(
				fc.record({
					turn: fc.integer({min: 0, max: 9}),
					tokens: fc.integer({min: 1, max: 60}),
					isSettlement: fc.boolean(),
				}),
			);
			fc.assert(
				fc.property(events, (sequence) => {
					const state = createTurnsState();
					const granted = new Map<string, number>();
					let spentTokens = 0;
					for (const {turn, tokens, isSettlement} of sequence) {
						const requestId = `t${turn}`;
						const reservedTokens = granted.get(requestId);
						if (isSettlement && reservedTokens !== undefined) {
							spentTokens += Math.min(tokens, reservedTokens);
							settle(state, requestId, {
								usedTokens: Math.min(tokens, reservedTokens),
							});
							granted.delete(requestId);
						} else if (
							reservedTokens === undefined &&
							reserve(state, requestId, tokens).status === 'granted'
						) {
							granted.set(requestId, tokens);
						}

						expect(spentTokens).toBeLessThanOrEqual(100);
					}
				}),
				{seed: 11},
			);
		});
	});

	describe('tree', () => {
		it('finds the texts of a chain, oldest first, when two turns continue the same one', () => {
			const state = createTurnsState();
			settle(state, 'a', {turn: createTurn('one')});
			settle(state, 'b', {turn: createTurn('three', 'a')});
			settle(state, 'c', {turn: createTurn('two', 'a')});
			expect(findChain(state, id('c'))).toEqual([
				{offset: 0, lengthBytes: 3},
				{offset: 8, lengthBytes: 3},
			]);
		});

		it('retains a chain until its last turn expires', () => {
			const state = createTurnsState();
			settle(state, 'a', {turn: createTurn('one')});
			settle(state, 'b', {turn: createTurn('two', 'a'), nowMs: 900});
			stepTurns(state, {type: 'expire', nowMs: 1500});
			expect(findChain(state, id('b'))).toHaveLength(2);
			stepTurns(state, {type: 'expire', nowMs: 2000});
			expect(findChain(state, id('b'))).toBeUndefined();
		});

		it('ignores a command time earlier than that of a previous command', () => {
			const state = createTurnsState();
			settle(state, 'a', {turn: createTurn('one'), nowMs: 500});
			stepTurns(state, {type: 'expire', nowMs: 100});
			expect(state.clockMs).toBe(500);
			expect(findChain(state, id('a'))).toHaveLength(1);
		});
	});
});

describe('TurnsMachine', () => {
	it('restores the same state from a snapshot', () => {
		const machine = new TurnsMachine();
		const common = {programId, requestId: id('a'), retentionMs: 1000, nowMs: 5};
		for (const command of [
			{type: 'reserve' as const, ...common, budgetTokens: 100, maxTokens: 60},
			{
				type: 'settle' as const,
				...common,
				usedTokens: 9,
				turn: createTurn('one'),
			},
		]) {
			machine.apply({index: 1, command: encodeTurnCommand(command)});
		}

		const copy = new TurnsMachine();
		copy.restoreSnapshot(machine.takeSnapshot());
		expect(copy.state).toEqual(machine.state);
		expect(copy.historyStartOffset()).toBe(0);
	});
});
