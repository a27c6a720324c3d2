import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {stringify} from 'yaml';
import {
	Caller,
	createSelectorResource,
	generateText,
	runCommand,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('end to end with 8 daemons', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 8,
			engineCount: 2,
			engineOptions: {salt: 'same'},
		});
	});

	afterEach((context) => {
		showLogsOnFailure(bed, context);
	});

	afterAll(async () => {
		await bed.stop();
	});

	it('runs a program and returns its history through another daemon', async () => {
		// Guards against a call that is lost between the entry daemon, owner and dispatcher.
		const caller = bed.caller('d4');
		const programId = await caller.openProgram();
		const call = caller.streamModel(programId, 'Which class? [tokens=40]');
		const streamed = await call.finished;
		expect(streamed).toMatchObject({status: 200, complete: true});
		expect(streamed.text).toBe(
			generateText('Which class? [tokens=40]', {count: 40, salt: 'same'}),
		);
		const tool = await caller.callTool(programId, 'entry-desk/charge-fee', {
			ref: 'thin-1',
		});
		expect(tool.status).toBe(200);
		expect(bed.entryDesk.countExecutionsWith('ref', 'thin-1')).toBe(1);
		const finalAnswer = await caller.callModel(programId, 'Thank you.');
		expect(finalAnswer.status).toBe(200);
		const ended = await caller.endProgram(programId);
		expect(ended.status).toBeLessThan(300);
		const history = await bed.caller('d8').readHistory(programId);
		expect(history.map(({role}) => role)).toEqual([
			'user',
			'assistant',
			expect.any(String),
			'tool',
			'user',
			'assistant',
		]);
		expect(history[1]!.content).toBe(streamed.text);
	});

	it('serves a client that sends no program id', async () => {
		// Guards against an API that standard OpenAI clients cannot use.
		const answer = await bed.caller('d5').send<{
			choices: Array<{message: {content: string}}>;
		}>('POST', '/v1/chat/completions', {
			body: {
				model: 'agent-large',
				messages: [{role: 'user', content: 'Hello. [tokens=5]'}],
			},
		});
		expect(answer.status).toBe(200);
		expect(answer.body.choices[0]!.message.content).toBe(
			generateText('Hello. [tokens=5]', {count: 5, salt: 'same'}),
		);
	});

	it('puts an applied change into force on all daemons', async () => {
		// Guards against an apply that reports success before the change is in force on all daemons.
		const file = path.join(bed.cluster.folder, 'apply.yaml');
		writeFileSync(
			file,
			stringify(createSelectorResource('review', {agent: 'r'})),
		);
		const result = await runCommand(['apply', '-f', file, '-o', 'json'], {
			MARJORAMCOVE_ADDRESS: bed.cluster.addresses.join(','),
		});
		expect(result).toMatchObject({code: 0});
		const {revision} = JSON.parse(result.out) as {revision: number};
		const lists = await Promise.all(
			bed.cluster.daemons.map(async ({daemonId}) =>
				bed.readResources(daemonId),
			),
		);
		expect(
			lists.map((list) => list.resources.some(({name}) => name === 'review')),
		).toEqual(lists.map(() => true));
		expect(lists.every((list) => list.revision >= revision)).toBe(true);
	});

	it('interrupts no request on SIGTERM and serves new ones for the address lifetime', async () => {
		// Guards against a planned shutdown that loses active calls or refuses callers with cached addresses.
		const leaving = bed.cluster.daemon('d6');
		const caller = bed.caller('d6');
		const programs = await Promise.all(
			Array.from({length: 4}, async () => caller.openProgram()),
		);
		const lateProgram = await caller.openProgram();
		const calls = programs.map((programId) =>
			caller.streamModel(programId, 'Long answer. [tokens=400]'),
		);
		await waitFor('all answers to start', () =>
			calls.every(({current}) => current.text.length > 0),
		);
		leaving.signal('SIGTERM');
		const late = new Caller(leaving.httpAddress);
		const lateAnswer = await late.callModel(lateProgram, 'Am I late?');
		expect(lateAnswer.status).toBe(200);
		const results = await Promise.all(
			calls.map(async ({finished}) => finished),
		);
		expect(results.map(({complete}) => complete)).toEqual([
			true,
			true,
			true,
			true,
		]);
		expect(await leaving.waitForExit(60_000)).toEqual({code: 0, signal: null});
		await late.close();
		const answer = await bed
			.caller('d4')
			.send<{addresses: Array<{address: string}>}>('GET', '/v1/addresses');
		expect(answer.body.addresses.map(({address}) => address)).not.toContain(
			leaving.httpAddress,
		);
	});
});
