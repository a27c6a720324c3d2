import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	Caller,
	generateText,
	type StreamResult,
	TcpProxy,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {
	findDispatcher,
	findOtherDaemon,
	waitForStableRoles,
} from './helpers/find-roles.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I4 complete answers', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({daemonCount: 6, engineCount: 2});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		for (const engine of bed.engines) {
			engine.clearFaults();
			if (!engine.running) {
				await engine.start();
			}
		}

		await bed.cluster.restartStopped();
	});

	afterAll(async () => {
		await bed.stop();
	});

	/** Sends the same request to another daemon until the complete answer has arrived. */
	const resume = async (
		daemonId: string,
		[programId, requestId, message]: [string, string, string],
		partial: StreamResult,
	): Promise<string> =>
		waitFor(
			'the complete answer',
			async () => {
				const call = bed.caller(daemonId).streamModel(programId, message, {
					requestId,
					...(partial.lastEventId !== '' &&
						!isFaultInjected('resume-without-position') && {
							lastEventId: partial.lastEventId,
						}),
				});
				const result = await call.finished;
				if (!result.complete) {
					throw new Error(JSON.stringify(result));
				}

				return result.restarted ? result.text : partial.text + result.text;
			},
			{timeoutMs: 30_000},
		);

	const expectRecorded = async (programId: string, text: string) => {
		const history = await waitFor('the history', async () =>
			bed.caller('d4').readHistory(programId),
		);
		expect(history.at(-1)).toEqual({role: 'assistant', content: text});
	};

	it('returns the rest of an answer through another daemon after the entry daemon is killed', async () => {
		// Guards against an answer that is lost with its entry daemon, and against lost or repeated bytes at the
		// resume position.
		const message = 'Entry dies. [tokens=800]';
		const programId = await bed.caller('d6').openProgram();
		const call = bed
			.caller('d6')
			.streamModel(programId, message, {requestId: 'r1'});
		await waitFor('some bytes', () => call.current.text.length > 100);
		await bed.cluster.daemon('d6').kill();
		const partial = await call.finished;
		expect(partial.complete).toBe(false);
		const whole = await resume('d5', [programId, 'r1', message], partial);
		expect(whole.length).toBe(800 * 4);
		await expectRecorded(programId, whole);
	});

	it('keeps delivered bytes a prefix of the answer when the engine crashes during the stream', async () => {
		// Guards against a retry that restarts the text, and against an answer mixed from two engines.
		const message = 'Engine dies. [tokens=200]';
		const programId = await bed.caller('d6').openProgram();
		for (const engine of bed.engines) {
			engine.injectFault({kind: 'die-after', bytes: 4000});
		}

		const call = bed
			.caller('d6')
			.streamModel(programId, message, {requestId: 'r1'});
		await waitFor('an engine to crash', () =>
			bed.engines.some(({running}) => !running),
		);
		const delivered = call.current.text;
		const crashedIndex = bed.engines.findIndex(({running}) => !running);
		await bed.engines[crashedIndex]!.start();
		const result = await call.finished;
		expect(result).toMatchObject({complete: true, restarted: false});
		expect(result.text.startsWith(delivered)).toBe(true);
		expect(result.text.length).toBe(200 * 4);
		const crashedAnswer = generateText(message, {
			count: 200,
			salt: `engine-${crashedIndex + 1}`,
		});
		expect(crashedAnswer.startsWith(delivered)).toBe(true);
		await expectRecorded(programId, result.text);
	});

	it.each(['SIGSTOP', 'SIGKILL'] as const)(
		'keeps delivered bytes a prefix of the answer when the dispatcher receives %s during the stream',
		async (signal) => {
			// Guards against a caller that waits for a suspended dispatcher, and against an answer mixed from two attempts.
			const message = 'Dispatcher gone. [tokens=400]';
			await waitForStableRoles(bed, 'engine-1');
			const dispatchers = await Promise.all(
				['engine-1', 'engine-2'].map(async (name) =>
					findDispatcher(bed.caller('d1'), name),
				),
			);
			const entry = findOtherDaemon(bed, ...dispatchers);
			const programId = await bed.caller(entry).openProgram();
			const counts = bed.engines.map(({calls}) => calls.length);
			const call = bed
				.caller(entry)
				.streamModel(programId, message, {requestId: 'r1'});
			await waitFor('some bytes', () => call.current.text.length > 100);
			const usedIndex = bed.engines.findIndex(
				({calls}, index) => calls.length > counts[index]!,
			);
			const dispatcher = bed.cluster.daemon(dispatchers[usedIndex]!);
			dispatcher.signal(signal);
			const delivered = call.current.text;
			const result = await call.finished;
			dispatcher.signal('SIGCONT');
			expect(result).toMatchObject({complete: true, restarted: false});
			expect(result.text.startsWith(delivered)).toBe(true);
			expect(result.text.length).toBe(400 * 4);
			await expectRecorded(programId, result.text);
		},
	);

	it('resumes the stream at the engine when its connection stalls', async () => {
		// Guards against a call that waits forever on a stalled connection, and against a second model call.
		const message = 'Silence. [tokens=200]';
		const programId = await bed.caller('d6').openProgram();
		for (const engine of bed.engines) {
			engine.injectFault({kind: 'silent-after', bytes: 3000});
		}

		const before = bed.engines.flatMap(({calls}) => calls).length;
		const call = bed.caller('d6').streamModel(programId, message);
		const result = await call.finished;
		expect(result).toMatchObject({complete: true, restarted: false});
		expect(result.text.length).toBe(200 * 4);
		const calls = bed.engines.flatMap((engine) => engine.calls);
		expect(calls.length - before).toBe(1);
		await expectRecorded(programId, result.text);
	});

	it('returns the answer on a new connection when the old one stalls', async () => {
		// Guards against a call that is bound to the connection on which it started.
		const message = 'Silent caller. [tokens=400]';
		const proxy = await new TcpProxy(
			bed.cluster.daemon('d6').httpAddress,
		).start();
		const stalledCaller = new Caller(proxy.address);
		const programId = await bed.caller('d6').openProgram();
		const call = stalledCaller.streamModel(programId, message, {
			requestId: 'r1',
		});
		await waitFor('some bytes', () => call.current.text.length > 100);
		proxy.silence('both', {newConnections: false});
		const partial = {...call.current};
		const whole = await resume('d6', [programId, 'r1', message], partial);
		expect(whole.length).toBe(400 * 4);
		await expectRecorded(programId, whole);
		call.abort();
		await stalledCaller.close();
		await proxy.stop();
	});

	it('returns to every caller its own answer when many calls run concurrently', async () => {
		// Guards against chunks that are sent to the stream of another caller.
		const results = await Promise.all(
			Array.from({length: 12}, async (_, index) => {
				const caller = bed.caller(`d${(index % 6) + 1}`);
				const message = `Caller ${index}. [tokens=${50 + index}]`;
				const programId = await caller.openProgram();
				const result = await caller.streamModel(programId, message).finished;
				const expected = ['engine-1', 'engine-2'].map((salt) =>
					generateText(message, {count: 50 + index, salt}),
				);
				return expected.includes(result.text);
			}),
		);
		expect(results).toEqual(results.map(() => true));
	});
});
