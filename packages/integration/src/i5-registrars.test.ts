import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
	type Answer,
	createSelectorResource,
	errorOf,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {showLogsOnFailure} from './helpers/show-logs.ts';

/** Configuration lease of the test cluster; a change must be in force on every daemon after it. */
const leaseMs = 2000;
const registrars = ['d1', 'd2', 'd3'];
const entries = ['d4', 'd5', 'd6', 'd7'];

type FaultCase = {
	name: string;
	injectFault: (bed: TestBed, daemonId: string, leaderId: string) => void;
};

const faults: FaultCase[] = [
	{
		name: 'is killed',
		injectFault(bed, daemonId) {
			bed.cluster.daemon(daemonId).signal('SIGKILL');
		},
	},
	{
		name: 'is suspended',
		injectFault(bed, daemonId) {
			bed.cluster.daemon(daemonId).signal('SIGSTOP');
		},
	},
	{
		name: 'is partitioned in both directions',
		injectFault(bed, daemonId) {
			bed.cluster.isolate(daemonId, 'both');
		},
	},
	{
		name: 'receives nothing',
		injectFault(bed, daemonId) {
			bed.cluster.isolate(daemonId, 'incoming');
		},
	},
	{
		name: 'has its outgoing messages dropped',
		injectFault(bed, daemonId) {
			bed.cluster.isolate(daemonId, 'outgoing');
		},
	},
	{
		name: 'is partitioned from the leader only',
		injectFault(bed, daemonId, leaderId) {
			for (const link of [
				bed.cluster.link(daemonId, leaderId),
				bed.cluster.link(leaderId, daemonId),
			]) {
				link.silence('to-server', {newConnections: true});
				link.silence('to-client', {newConnections: true});
			}
		},
	},
];

describe('I5 configuration through registrars', () => {
	let bed: TestBed;

	beforeEach(async () => {
		bed = await TestBed.start({
			daemonCount: 7,
			engineCount: 1,
			proxied: true,
			settings: {timing: {configurationLeaseMs: leaseMs}},
		});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		await bed.stop();
	});

	const findConfigLeader = async () => {
		const answer = await bed
			.caller('d4')
			.send<{leaderId: string}>('GET', '/v1/operator/daemons');
		return answer.body.leaderId;
	};

	/** Makes calls through a daemon until aborted; returns when the last successful one was sent. */
	const callUntilAborted = async (
		daemonId: string,
		signal: AbortSignal,
	): Promise<{lastAcceptedMs: number; refusedByNewSelector: boolean}> => {
		const observed = {lastAcceptedMs: 0, refusedByNewSelector: false};
		while (!signal.aborted) {
			const sentMs = performance.now();
			const answer = await tryCall(daemonId);
			if (answer.status === 200) {
				observed.lastAcceptedMs = sentMs;
			}

			observed.refusedByNewSelector ||=
				errorOf(answer)?.reason === 'no-selector-matches';
			await sleep(20);
		}

		return observed;
	};

	const tryCall = async (daemonId: string): Promise<Answer> => {
		try {
			const opened = await bed.caller(daemonId).tryOpenProgram();
			return opened.status === 201
				? await bed
						.caller(daemonId)
						.callModel(String(opened.body.programId), 'May I? [tokens=1]')
				: opened;
		} catch (error) {
			return {
				status: 0,
				body: {error: {reason: 'no-answer', message: String(error)}},
			};
		}
	};

	it.each(faults)(
		'is in force on every daemon when apply returns although a registrar $name',
		async ({injectFault}) => {
			// Guards against a registrar that continues to grant leases for an old configuration, and against
			// daemons that do not switch to another registrar.
			const leader = await findConfigLeader();
			const faultyRegistrar = registrars.find(
				(daemonId) => daemonId !== leader,
			)!;
			injectFault(bed, faultyRegistrar, leader);
			const stop = new AbortController();
			const observations = entries.map(async (daemonId) =>
				callUntilAborted(daemonId, stop.signal),
			);
			const sentMs = performance.now();
			const applied = await waitFor('the change to be applied', async () => {
				const answer = await bed.sendChange(
					[
						{
							type: 'apply',
							resource: createSelectorResource('all', {never: 'x'}),
						},
					],
					{daemonId: leader},
				);
				return answer.status === 200 ? answer : undefined;
			});
			const committedMs = performance.now();
			expect(applied.body.inForce).toBe(true);
			expect(committedMs - sentMs).toBeLessThan(15_000);
			// Every entry daemon switches to another registrar, applies the change and renews its lease.
			await waitFor(
				'all entry daemons to refuse by the new selector',
				async () => {
					const answers = await Promise.all(
						entries.map(async (daemonId) => tryCall(daemonId)),
					);
					return answers.every(
						(answer) => errorOf(answer)?.reason === 'no-selector-matches',
					);
				},
			);
			stop.abort();
			for (const {lastAcceptedMs} of await Promise.all(observations)) {
				expect(lastAcceptedMs).toBeLessThan(committedMs);
			}
		},
	);
});

describe('I5 configuration with a single state daemon', () => {
	let bed: TestBed;

	beforeEach(async () => {
		bed = await TestBed.start({daemonCount: 3, diskCount: 1, engineCount: 1});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		await bed.stop();
	});

	it('is in force on every daemon when apply returns', async () => {
		// Guards against a protocol that requires a second registrar.
		await bed.apply([{...createSelectorResource('all', {never: 'matches'})}]);
		for (const {daemonId} of bed.cluster.daemons) {
			const opened = await bed.caller(daemonId).tryOpenProgram();
			const answer =
				opened.status === 201
					? await bed
							.caller(daemonId)
							.callModel(String(opened.body.programId), 'May I?')
					: opened;
			expect(errorOf(answer)?.reason).toBe('no-selector-matches');
		}
	});
});
