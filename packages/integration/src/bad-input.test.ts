import {
	mkdtempSync,
	readdirSync,
	readFileSync,
	rmSync,
	statSync,
	writeFileSync,
} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	daemonBinary,
	createSelectorResource,
	errorOf,
	runCommand,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {stringify} from 'yaml';
import {showLogsOnFailure} from './helpers/show-logs.ts';

const stackTracePattern = /\n\s+at .+:\d+:\d+/v;

describe('invalid input', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineCount: 1,
			settings: {limits: {requestSizeBytes: 65_536}},
		});
	});

	afterEach((context) => {
		showLogsOnFailure(bed, context);
		bed.engines[0]!.clearFaults();
	});

	afterAll(async () => {
		await bed.stop();
	});

	const expectDaemonServes = async () => {
		const programId = await bed.caller('d4').openProgram();
		const answer = await bed.caller('d4').callModel(programId, 'Still here?');
		expect(answer.status).toBe(200);
	};

	it('refuses a selector with an unknown key and applies nothing', async () => {
		// Guards against a misspelt key that is ignored, so that a selector matches more than intended.
		const before = await bed.readResources('d4');
		const selector = createSelectorResource('misspelt', {agent: 'x'});
		const answer = await bed.sendChange([
			{
				type: 'apply',
				resource: {...selector, spec: {...selector.spec, budgett: {turns: 1}}},
			},
		]);
		expect(answer.status).toBe(422);
		expect(errorOf(answer)).toMatchObject({verdict: 'not-run'});
		expect(errorOf(answer)?.message).toContain('budgett');
		expect(await bed.readResources('d4')).toEqual(before);
	});

	it('refuses a request that is too large', async () => {
		// Guards against a caller that exhausts the memory of a daemon.
		const programId = await bed.caller('d4').openProgram();
		const answer = await bed
			.caller('d4')
			.callModel(programId, 'x'.repeat(100_000));
		expect(answer.status).toBe(413);
		expect(errorOf(answer)).toMatchObject({verdict: 'not-run'});
		await expectDaemonServes();
	});

	it.each([
		['a body that is not JSON', '{"model": '],
		['no messages', '{"model": "agent-large"}'],
		['messages of a wrong type', '{"model": "agent-large", "messages": 5}'],
		['an empty body', ''],
	])('returns 422 for %s', async (_name, body) => {
		// Guards against a stack trace or a crash on malformed requests.
		const programId = await bed.caller('d4').openProgram();
		const response = await fetch(
			`${bed.cluster.daemon('d4').url}/v1/chat/completions`,
			{
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					'x-marjoramcove-program': programId,
				},
				body,
			},
		);
		const text = await response.text();
		expect(response.status).toBe(422);
		expect(errorOf({body: JSON.parse(text)})).toMatchObject({
			verdict: 'not-run',
		});
		expect(text).not.toMatch(stackTracePattern);
		await expectDaemonServes();
	});

	it('reports an unknown program, service and operation', async () => {
		// Guards against internal errors for unknown names.
		const programId = await bed.caller('d4').openProgram();
		const answers = [
			await bed.caller('d4').callModel('p0-nothing', 'Hello.'),
			await bed.caller('d4').callModel('nonsense', 'Hello.'),
			await bed.caller('d4').callTool(programId, 'no-desk/charge-fee', {}),
			await bed.caller('d4').callTool(programId, 'entry-desk/no-operation', {}),
		];
		for (const answer of answers) {
			expect(answer.status).toBeGreaterThanOrEqual(400);
			expect(answer.status).toBeLessThan(504);
			expect(errorOf(answer)).toMatchObject({verdict: 'not-run'});
			expect(errorOf(answer)?.reason).not.toBe('internal-error');
		}
	});

	it('does not report not-run for a program whose record may have been removed', async () => {
		// Guards against a caller that retries a call that ran before its program was removed.
		const answer = await bed
			.caller('d4')
			.callTool(`p0-${'0'.repeat(24)}`, 'entry-desk/charge-fee', {ref: 'old'});
		expect(answer.status).toBe(404);
		expect(errorOf(answer)).toMatchObject({
			reason: 'program-unknown',
			verdict: 'may-have-run',
		});
	});

	it('survives a malformed stream of an engine', async () => {
		// Guards against a crash, and against a partial answer that is recorded as complete.
		const programId = await bed.caller('d4').openProgram();
		bed.engines[0]!.injectFault({kind: 'malformed-after', bytes: 1000});
		const result = await bed
			.caller('d4')
			.streamModel(programId, 'Malformed. [tokens=100]').finished;
		if (result.complete) {
			expect(result.text.length).toBe(400);
		} else {
			expect(result.error?.reason).not.toBe('connection-lost');
		}

		await expectDaemonServes();
	});

	it('survives bytes that are neither HTTP nor a peer message', async () => {
		// Guards against a port scan that crashes a daemon.
		const daemon = bed.cluster.daemon('d4');
		for (const address of [daemon.httpAddress, daemon.peerAddress]) {
			const [host, port] = address.split(':');
			const socket = connect(Number(port), host);
			const closed = new Promise((resolve) => {
				socket.on('close', resolve);
			});
			socket.on('error', () => socket.destroy());
			socket.write(Buffer.alloc(4096, 0xff));
			await Promise.race([
				closed,
				waitFor('an answer', () => socket.bytesRead > 0),
			]);
			socket.destroy();
		}

		await expectDaemonServes();
		expect(daemon.exitStatus).toBeUndefined();
	});

	describe('settings', () => {
		let folder: string;

		beforeAll(() => {
			folder = mkdtempSync(path.join(tmpdir(), 'marjoramcove-settings-'));
		});

		afterAll(() => {
			rmSync(folder, {recursive: true});
		});

		const check = async (text: string) => {
			const file = path.join(folder, 'settings.yaml');
			writeFileSync(file, text);
			return runCommand(
				['--check', '--settings', file],
				{},
				{binary: daemonBinary},
			);
		};

		it('accepts the settings of this cluster', async () => {
			const text = readFileSync(bed.cluster.daemon('d4').settingsFile, 'utf8');
			expect(await check(text)).toMatchObject({code: 0});
		});

		it('reports a misspelt key', async () => {
			// Guards against a misspelt setting that is ignored.
			const text = readFileSync(bed.cluster.daemon('d4').settingsFile, 'utf8');
			const result = await check(text.replace('heartbeatMs', 'hartbeatMs'));
			expect(result.code).toBe(2);
			expect(result.err + result.out).toContain('hartbeatMs');
			expect(result.err + result.out).not.toMatch(stackTracePattern);
		});

		it('reports an invalid value', async () => {
			const result = await check(stringify({daemonId: 5}));
			expect(result.code).toBe(2);
			expect(result.err + result.out).toContain('daemonId');
		});
	});

	it('refuses to start with a corrupted data file and loses no data', async () => {
		// Guards against a replica that truncates acknowledged records after a corrupted one.
		const programId = await bed.caller('d4').openProgram();
		for (let turn = 0; turn < 5; turn++) {
			const answer = await bed.caller('d4').callModel(programId, `${turn}`);
			expect(answer.status).toBe(200);
		}

		const daemon = bed.cluster.daemon('d3');
		await daemon.kill();
		const file = findLargestLog(daemon.dataFolder);
		const bytes = readFileSync(file);
		const position = Math.floor(bytes.length / 3);
		bytes[position] = 255 - bytes[position]!;
		writeFileSync(file, bytes);
		daemon.start();
		const exit = await daemon.waitForExit();
		expect(exit.code).not.toBe(0);
		expect(daemon.readLog()).toContain('data-corruption');
		expect(daemon.readLog()).not.toMatch(stackTracePattern);
		const history = await bed.caller('d5').readHistory(programId);
		expect(history).toHaveLength(10);
		await expectDaemonServes();
	});
});

/** Returns the largest file of the write-ahead log. */
const findLargestLog = (folder: string): string =>
	readdirSync(folder, {recursive: true, encoding: 'utf8'})
		.map((name) => path.join(folder, name))
		.filter((file) => /wal|log/v.test(file) && statSync(file).isFile())
		.toSorted((a, b) => statSync(b).size - statSync(a).size)[0]!;
