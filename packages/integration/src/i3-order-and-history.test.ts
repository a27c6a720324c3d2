import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {errorOf, TestBed} from '@marjoramcove/test-support';
import {retryRefused} from './helpers/retry-refused.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I3 order and history', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({daemonCount: 5, engineCount: 2});
	});

	afterEach((context) => {
		showLogsOnFailure(bed, context);
	});

	afterAll(async () => {
		await bed.stop();
	});

	it('keeps one history for a client that resends the full conversation after tool calls and failures', async () => {
		// Guards against duplicated history entries, and against messages that an engine refuses.
		const caller = bed.caller('d4');
		const programId = await caller.openProgram();
		const messages = [{role: 'user', content: 'Which class?'}];
		const ask = async (requestId: string) => {
			const answer = await caller.send<{
				choices: Array<{message: {role: string; content: string}}>;
			}>('POST', '/v1/chat/completions', {
				headers: {
					'x-marjoramcove-program': programId,
					'x-marjoramcove-request': requestId,
				},
				body: {model: 'agent-large', messages},
			});
			expect(answer.status).toBe(200);
			messages.push(answer.body.choices[0]!.message);
		};

		await ask('r1');
		bed.entryDesk.injectFault('charge-fee', {kind: 'lose-answer'});
		const lost = await caller.callTool(
			programId,
			'entry-desk/charge-fee',
			{ref: 'whole-1'},
			{requestId: 't1'},
		);
		expect(errorOf(lost)?.verdict).toBe('may-have-run');
		messages.push({role: 'user', content: 'Was the fee charged?'});
		await ask('r2');
		const charged = await caller.callTool(
			programId,
			'entry-desk/charge-fee',
			{ref: 'whole-2'},
			{requestId: 't2'},
		);
		expect(charged.status).toBe(200);
		// The model is told that the call may have run; otherwise it would request the fee again.
		expect(
			bed.engines.flatMap(({calls}) => calls).map(({prompt}) => prompt),
		).toContainEqual(
			expect.stringMatching(/error: .*\nWas the fee charged\?$/v),
		);
		messages.push({role: 'user', content: 'Thank you.'});
		await ask('r3');
		const history = await bed.caller('d5').readHistory(programId);
		expect(history.map(({role}) => role)).toEqual([
			'user',
			'assistant',
			'assistant',
			'user',
			'assistant',
			'assistant',
			'tool',
			'user',
			'assistant',
		]);
	});

	it('runs calls in the order of their turn numbers when sent through several daemons', async () => {
		// Guards against calls that are reordered between entry daemons.
		const programId = await bed.caller('d4').openProgram();
		const turns = [0, 1, 2, 3, 4, 5];
		const program = await bed.caller('d4').readProgram(programId);
		const firstTurn = Number(program.body.nextTurn);
		const answers = await Promise.all(
			turns.toReversed().map(async (turn) =>
				retryRefused(async () => {
					const answer = await bed
						.caller(`d${(turn % 5) + 1}`)
						.callModel(programId, `Question ${turn}.`, {
							requestId: `r${turn}`,
							...(!isFaultInjected('omit-turn-numbers') && {
								turn: firstTurn + turn,
							}),
						});
					// A turn that is not the next one is refused with the verdict not-run and retried.
					return errorOf(answer)?.reason === 'turn-out-of-order'
						? {...answer, status: 503}
						: answer;
				}),
			),
		);
		expect(answers.map(({status}) => status)).toEqual(turns.map(() => 200));
		const history = await bed.caller('d5').readHistory(programId);
		expect(
			history.filter(({role}) => role === 'user').map(({content}) => content),
		).toEqual(turns.map((turn) => `Question ${turn}.`));
	});

	it('queues concurrent calls of one program and runs each once', async () => {
		// Guards against two concurrently running calls of one program.
		const programId = await bed.caller('d4').openProgram();
		const refs = ['a', 'b', 'c', 'd'];
		const answers = await Promise.all(
			refs.map(async (ref) =>
				retryRefused(async () =>
					bed
						.caller('d4')
						.callTool(
							programId,
							'entry-desk/charge-fee',
							{ref: `queue-${ref}`},
							{requestId: ref},
						),
				),
			),
		);
		expect(answers.map(({status}) => status)).toEqual([200, 200, 200, 200]);
		for (const ref of refs) {
			expect(bed.entryDesk.countExecutionsWith('ref', `queue-${ref}`)).toBe(1);
		}

		const history = await bed.caller('d5').readHistory(programId);
		expect(history.filter(({role}) => role === 'tool')).toHaveLength(4);
	});

	it('keeps the histories of programs separate', async () => {
		// Guards against answers that are written to the history of another program.
		const names = ['red', 'green', 'blue', 'white'];
		const programs = await Promise.all(
			names.map(async (name) => {
				const programId = await bed.caller('d4').openProgram();
				return {name, programId};
			}),
		);
		const texts = await Promise.all(
			programs.map(async ({name, programId}) => {
				const contents: string[] = [];
				for (let turn = 0; turn < 4; turn++) {
					const caller = bed.caller(`d${(turn % 5) + 1}`);
					const result = await caller.streamModel(programId, `${name} ${turn}`)
						.finished;
					expect(result.complete).toBe(true);
					contents.push(`${name} ${turn}`, result.text);
				}

				return contents;
			}),
		);
		const histories = await Promise.all(
			programs.map(async ({programId}) => {
				const history = await bed.caller('d5').readHistory(programId);
				return history.map(({content}) => content);
			}),
		);
		expect(histories).toEqual(texts);
	});
});
