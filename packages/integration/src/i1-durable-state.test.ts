import {rmSync} from 'node:fs';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {runCommand, TestBed, waitFor} from '@marjoramcove/test-support';
import {findLeader, groupIdOf} from './helpers/find-roles.ts';
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

	it('finishes a call whose owner is killed with SIGKILL during the call', async () => {
		// Guards against an owner that keeps acknowledged state only in memory.
		const caller = bed.caller('d4');
		const programId = await caller.openProgram();
		const owner = await findLeader(caller, groupIdOf(programId));
		const call = caller.streamModel(programId, 'Long. [tokens=600]', {
			requestId: 'r1',
		});
		await waitFor('the answer to start', () => call.current.text.length > 0);
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
		await bed.cluster.waitUntilReady();
	});

	it('keeps programs and configuration when all daemons are killed with SIGKILL and restarted', async () => {
		// Guards against acknowledgements before fsync, and against recovery that loses the end of the log.
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
		// Guards against a replacement that becomes a voter before it has the state.
		const programId = await writeProgram('d4', 'b');
		const replacedDaemon = bed.cluster.daemon('d3');
		await replacedDaemon.kill();
		rmSync(replacedDaemon.dataFolder, {recursive: true});
		const programDuringLoss = await writeProgram('d4', 'c');
		replacedDaemon.start();
		const replaced = await runCommand(
			['replace', 'd3', '--with', 'd3', '--timeout-ms', '40000'],
			{MARJORAMCOVE_ADDRESS: bed.cluster.addresses.join(',')},
		);
		expect(replaced.code, replaced.err).toBe(0);
		await bed.cluster.daemon('d1').kill();
		if (isFaultInjected('lose-second-disk')) {
			await replacedDaemon.kill();
			rmSync(replacedDaemon.dataFolder, {recursive: true});
			replacedDaemon.start();
		}

		await expectHistory('d4', programId, 'b');
		await expectHistory('d5', programDuringLoss, 'c');
		await writeProgram('d4', 'd');
	});
});
