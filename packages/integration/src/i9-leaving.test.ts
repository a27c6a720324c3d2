import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	errorOf,
	runCommand,
	TestBed,
	FakeVmList,
	waitFor,
} from '@marjoramcove/test-support';
import {findDispatcher, findLeader} from './helpers/find-roles.ts';
import {retryRefused} from './helpers/retry-refused.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

// A leaving upstream must receive no new work after a few seconds (section 2 of the design).
const LEAVING_BOUND_MS = 3000;

describe('I9 leaving engines and daemons', () => {
	let bed: TestBed;
	let vmList: FakeVmList;

	beforeAll(async () => {
		vmList = await new FakeVmList(60_000).start();
		bed = await TestBed.start({
			daemonCount: 7,
			engineCount: 2,
			settings: {vmList: {url: `${vmList.url}/vms`}},
		});
		vmList.set(
			bed.engines.map((engine) => ({address: engine.address, state: 'live'})),
		);
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		await bed.cluster.restartStopped();
	});

	afterAll(async () => {
		await bed.stop();
		await vmList.stop();
	});

	it('gives a leaving engine no new work although the VM list still reports it as live', async () => {
		// Guards against routing that relies on the VM list alone.
		const engine = bed.engines[0]!;
		const running = await Promise.all(
			Array.from({length: 4}, async () => {
				const programId = await bed.caller('d5').openProgram();
				return bed.caller('d5').streamModel(programId, 'Long. [tokens=800]');
			}),
		);
		await waitFor('all answers to start', () =>
			running.every(({current}) => current.text.length > 0),
		);
		engine.leaving = !isFaultInjected('hide-leaving');
		const until = Date.now() + LEAVING_BOUND_MS;
		await waitFor('the time limit for new work', () => Date.now() > until);
		const before = engine.calls.length;
		for (let index = 0; index < 10; index++) {
			const programId = await bed.caller('d6').openProgram();
			const answer = await bed.caller('d6').callModel(programId, 'Where?');
			expect(answer.status).toBe(200);
		}

		expect(engine.calls.length).toBe(before);
		const results = await Promise.all(
			running.map(async ({finished}) => finished),
		);
		expect(results.map(({complete}) => complete)).toEqual(
			running.map(() => true),
		);
		engine.leaving = false;
	});

	const roles = ['config leader', 'dispatcher', 'entry'] as const;

	it.each(roles)('interrupts no request when the %s drains', async (role) => {
		// Guards against a planned shutdown that fails active calls.
		const daemonId =
			role === 'config leader'
				? await findLeader(bed.caller('d7'), 'config')
				: role === 'dispatcher'
					? await findDispatcher(bed.caller('d7'), 'engine-1')
					: 'd6';
		const entries = bed.cluster.daemons.map((daemon) => daemon.daemonId);
		const calls = await Promise.all(
			entries.map(async (entry) => {
				const programId = await bed.caller(entry).openProgram();
				return bed.caller(entry).streamModel(programId, 'Long. [tokens=600]');
			}),
		);
		const feePrograms = await Promise.all(
			entries.map(async (entry) => bed.caller(entry).openProgram()),
		);
		bed.entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 1500});
		const fees = entries.map(async (entry, index) =>
			bed
				.caller(entry)
				.callTool(
					feePrograms[index]!,
					'entry-desk/charge-fee',
					{ref: `${role}-${entry}`},
					{requestId: 'fee'},
				),
		);
		await waitFor('all answers to start', () =>
			calls.every(({current}) => current.text.length > 0),
		);
		const drain = runCommand(['drain', daemonId], {
			MARJORAMCOVE_ADDRESS: bed.cluster.addresses.join(','),
		});
		const results = await Promise.all(
			calls.map(async ({finished}) => finished),
		);
		expect(
			results.filter(({complete}) => !complete).map(({error}) => error),
		).toEqual([]);
		const charged = await Promise.all(fees);
		expect(charged.map((answer) => errorOf(answer)?.reason)).toEqual(
			entries.map(() => undefined),
		);
		for (const entry of entries) {
			expect(bed.entryDesk.countExecutionsWith('ref', `${role}-${entry}`)).toBe(
				1,
			);
		}

		expect(await drain).toMatchObject({code: 0});
		expect(await bed.cluster.daemon(daemonId).waitForExit()).toEqual({
			code: 0,
			signal: null,
		});
	});

	it('finishes all calls when every daemon is stopped at the same time', async () => {
		// Guards against daemons that stop while others still need them to record answers.
		const entries = bed.cluster.daemons.map((daemon) => daemon.daemonId);
		bed.entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 2000});
		const feeProgram = await bed.caller('d6').openProgram();
		const fee = bed
			.caller('d6')
			.callTool(feeProgram, 'entry-desk/charge-fee', {ref: 'last-fee'});
		const calls = await Promise.all(
			entries.map(async (entry) => {
				const programId = await bed.caller(entry).openProgram();
				return bed.caller(entry).streamModel(programId, 'Long. [tokens=600]');
			}),
		);
		await waitFor('all answers to start', () =>
			calls.every(({current}) => current.text.length > 0),
		);
		for (const daemon of bed.cluster.daemons) {
			daemon.signal('SIGTERM');
		}

		const results = await Promise.all(
			calls.map(async ({finished}) => finished),
		);
		expect(
			results.filter(({complete}) => !complete).map(({error}) => error),
		).toEqual([]);
		expect(await fee).toMatchObject({status: 200});
		expect(bed.entryDesk.countExecutionsWith('ref', 'last-fee')).toBe(1);
		const exits = await Promise.all(
			bed.cluster.daemons.map(async (daemon) => daemon.waitForExit()),
		);
		expect(exits).toEqual(exits.map(() => ({code: 0, signal: null})));
	});

	it('refuses or forwards, but never loses, requests during a rolling restart', async () => {
		// Guards against a gap between the shutdown of one daemon and the takeover by others.
		const restarts = {done: false};
		const statuses: number[] = [];
		const requestLoop = (async () => {
			for (let index = 0; !restarts.done && index < 500; index++) {
				const caller = bed.caller('d7');
				const opened = await retryRefused(async () => caller.tryOpenProgram());
				expect(opened.status).toBe(201);
				const answer = await retryRefused(async () =>
					caller.callTool(
						String(opened.body.programId),
						'entry-desk/charge-fee',
						{ref: `rolling-${index}`},
						{requestId: 'fee'},
					),
				);
				statuses.push(answer.status);
			}
		})();
		for (const daemon of bed.cluster.diskDaemons) {
			daemon.signal('SIGTERM');
			expect(await daemon.waitForExit(60_000)).toEqual({code: 0, signal: null});
			daemon.start();
			await bed.cluster.waitUntilReady();
		}

		restarts.done = true;
		await requestLoop;
		expect(statuses.length).toBeGreaterThan(0);
		expect(statuses.filter((status) => status !== 200)).toEqual([]);
		for (const index of statuses.keys()) {
			expect(bed.entryDesk.countExecutionsWith('ref', `rolling-${index}`)).toBe(
				1,
			);
		}
	});
});
