import {rmSync} from 'node:fs';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {runCommand, TestBed, waitFor} from '@marjoramcove/test-support';
import {findLeader, groupOf} from './helpers/find-roles.ts';
import {retryRefused} from './helpers/retry-refused.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I1 durable state', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineOptions: {salt: 'same'},
		});
	});

	afterEach((context) => {
		showLogsOnFailure(bed, context);
	});

	afterAll(async () => {
		await bed.stop();
	});

	const writeProgram = async (daemonId: string, note: string) => {
		const caller = bed.caller(daemonId);
		const programId = await waitFor('a program', async () =>
			caller.openProgram(),
		);
		const answer = await retryRefused(async () =>
			caller.callModel(programId, `Remember ${note}.`, {requestId: note}),
		);
		expect(answer.status).toBe(200);
		return programId;
	};

	const expectHistory = async (
		daemonId: string,
		programId: string,
		note: string,
	) => {
		const history = await waitFor(`the history of ${programId}`, async () =>
			bed.caller(daemonId).readHistory(programId),
		);
		expect(history.map(({role}) => role)).toEqual(['user', 'assistant']);
		expect(history[0]!.content).toBe(`Remember ${note}.`);
	};

	it('finishes a call whose owner is killed with kill -9 in mid-call', async () => {
		// Guards against an owner that keeps acknowledged state only in memory.
		const caller = bed.caller('d4');
		const programId = await caller.openProgram();
		const owner = await findLeader(caller, groupOf(programId));
		const call = caller.streamModel(programId, 'Long. [tokens=600]', {
			requestId: 'r1',
		});
		await waitFor('the answer to begin', () => call.current.text.length > 0);
		await bed.cluster.daemon(owner).kill();
		const result = await call.finished;
		expect(result).toMatchObject({complete: true});
		const history = await waitFor('the history', async () =>
			bed.caller('d5').readHistory(programId),
		);
		expect(history).toEqual([
			{role: 'user', content: 'Long. [tokens=600]'},
			{role: 'assistant', content: result.text},
		]);
		bed.cluster.daemon(owner).start();
		await bed.cluster.ready();
	});

	it('keeps programs and configuration over a kill -9 and restart of all daemons', async () => {
		// Guards against acknowledgements before the fsync, and against recovery that loses the tail.
		const programId = await writeProgram('d4', 'a');
		const before = await bed.readResources('d4');
		await Promise.all(bed.cluster.daemons.map(async (daemon) => daemon.kill()));
		await bed.cluster.restartStopped();
		await expectHistory('d5', programId, 'a');
		const after = await waitFor('the resources', async () =>
			bed.readResources('d4'),
		);
		expect(after).toEqual(before);
	});

	it('loses nothing when a second VM is lost right after a lost disk was replaced', async () => {
		// Guards against a replacement that counts as a voter before it holds the state.
		const programId = await writeProgram('d4', 'b');
		const lost = bed.cluster.daemon('d3');
		await lost.kill();
		rmSync(lost.dataFolder, {recursive: true});
		const during = await writeProgram('d4', 'c');
		lost.start();
		const replaced = await runCommand(
			['replace', 'd3', '--with', 'd3', '--timeout-ms', '40000'],
			{MARJORAMCOVE_ADDRESS: bed.cluster.addresses.join(',')},
		);
		expect(replaced.code, replaced.err).toBe(0);
		await bed.cluster.daemon('d1').kill();
		if (isFaultInjected('lose-second-disk')) {
			await lost.kill();
			rmSync(lost.dataFolder, {recursive: true});
			lost.start();
		}

		await expectHistory('d4', programId, 'b');
		await expectHistory('d5', during, 'c');
		await writeProgram('d4', 'd');
	});
});
