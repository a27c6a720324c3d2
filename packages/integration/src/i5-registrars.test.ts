import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
	type Answer,
	describeSelector,
	errorOf,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {showLogsOnFailure} from './helpers/show-logs.ts';

/** The lease of the test cluster; a change must be in force on every daemon after it. */
const leaseMs = 2000;
const registrars = ['d1', 'd2', 'd3'];
const entries = ['d4', 'd5', 'd6', 'd7'];

type FaultCase = {
	name: string;
	cause: (bed: TestBed, daemonId: string, leaderId: string) => void;
};

const faults: FaultCase[] = [
	{
		name: 'is killed',
		cause(bed, daemonId) {
			bed.cluster.daemon(daemonId).signal('SIGKILL');
		},
	},
	{
		name: 'is frozen',
		cause(bed, daemonId) {
			bed.cluster.daemon(daemonId).signal('SIGSTOP');
		},
	},
	{
		name: 'is behind a silent partition',
		cause(bed, daemonId) {
			bed.cluster.isolate(daemonId, 'both');
		},
	},
	{
		name: 'hears nothing',
		cause(bed, daemonId) {
			bed.cluster.isolate(daemonId, 'incoming');
		},
	},
	{
		name: 'is not heard',
		cause(bed, daemonId) {
			bed.cluster.isolate(daemonId, 'outgoing');
		},
	},
	{
		name: 'reaches its daemons but not the leader',
		cause(bed, daemonId, leaderId) {
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

	/** Opens programs at a daemon until the time is up; returns when it last took one. */
	const watch = async (
		daemonId: string,
		signal: AbortSignal,
	): Promise<{lastOpenedMs: number; refusedAsNew: boolean}> => {
		const seen = {lastOpenedMs: 0, refusedAsNew: false};
		while (!signal.aborted) {
			const askedMs = performance.now();
			const answer = await tryCall(daemonId);
			if (answer.status === 200) {
				seen.lastOpenedMs = askedMs;
			}

			seen.refusedAsNew ||= errorOf(answer)?.reason === 'no-selector-matches';
			await sleep(20);
		}

		return seen;
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
		'is in force everywhere when apply returns although a registrar $name',
		async ({cause}) => {
			// Guards against a registrar that goes on granting leases on an old configuration, and against
			// daemons that stay with it.
			const leader = await findConfigLeader();
			const lost = registrars.find((daemonId) => daemonId !== leader)!;
			cause(bed, lost, leader);
			const stop = new AbortController();
			const watched = entries.map(async (daemonId) =>
				watch(daemonId, stop.signal),
			);
			const sentMs = performance.now();
			const applied = await waitFor('the change to be applied', async () => {
				const answer = await bed.sendChange(
					[{type: 'apply', resource: describeSelector('all', {never: 'x'})}],
					{daemonId: leader},
				);
				return answer.status === 200 ? answer : undefined;
			});
			const committedMs = performance.now();
			expect(applied.body.inForce).toBe(true);
			expect(committedMs - sentMs).toBeLessThan(15_000);
			// Every entry daemon finds another registrar, takes the change and has a lease again.
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
			for (const {lastOpenedMs} of await Promise.all(watched)) {
				expect(lastOpenedMs).toBeLessThan(committedMs);
			}
		},
	);
});

describe('I5 configuration with one daemon that holds state', () => {
	let bed: TestBed;

	beforeEach(async () => {
		bed = await TestBed.start({daemonCount: 3, diskCount: 1, engineCount: 1});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		await bed.stop();
	});

	it('is in force on every daemon when apply returns', async () => {
		// Guards against a mechanism that needs a second registrar.
		await bed.apply([{...describeSelector('all', {never: 'matches'})}]);
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
