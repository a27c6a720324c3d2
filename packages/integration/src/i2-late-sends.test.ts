import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {FeeBench, type Harm} from './helpers/fee-bench.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I2 late sends', () => {
	let bench: FeeBench;

	beforeAll(async () => {
		bench = await FeeBench.start();
	});

	afterEach(async (context) => {
		showLogsOnFailure(bench.bed, context);
		await bench.recover();
	});

	afterAll(async () => {
		await bench.bed.stop();
	});

	/** Ends the harm that leaves the process in place, and starts a killed process again. */
	const revive = (daemonId: string) => {
		const daemon = bench.bed.cluster.daemon(daemonId);
		daemon.signal('SIGCONT');
		if (!daemon.running) {
			daemon.start();
		}
	};

	describe.each(['owner', 'dispatcher', 'entry'] as const)('%s', (role) => {
		it.each(['SIGKILL', 'SIGSTOP', 'outgoing', 'incoming'] as const)(
			'with %s between intent and send',
			async (harm) => {
				// Guards against a not-run verdict for a call that a frozen process sends after it resumes.
				const {programId, ref, first, roles, blockers} =
					await bench.sendQueuedFee();
				const harmed = roles[role];
				bench.harm(harmed, harm);
				const answer = await bench.settle(
					bench.healthyEntry([harmed]),
					programId,
					[ref, ref],
				);
				bench.bed.cluster.daemon(harmed).signal('SIGCONT');
				bench.bed.cluster.heal();
				await bench.expectHonest(answer, ref);
				await first;
				for (const blocker of blockers) {
					expect(
						bench.bed.entryDesk.executionsWith('ref', blocker),
					).toBeLessThanOrEqual(1);
				}
			},
		);
	});

	const pairs: Array<[Harm, Harm]> = [
		['SIGKILL', 'SIGSTOP'],
		['SIGSTOP', 'SIGKILL'],
		['outgoing', 'SIGSTOP'],
		['incoming', 'outgoing'],
	];
	it.each(pairs)(
		'with %s of the owner and %s of the dispatcher at once',
		async (ownerHarm, dispatcherHarm) => {
			// Guards against two processes that each rely on the other to know what became of the call.
			const {programId, ref, first, roles} = await bench.sendSlowFee();
			bench.harm(roles.owner, ownerHarm);
			if (roles.dispatcher !== roles.owner) {
				bench.harm(roles.dispatcher, dispatcherHarm);
			}

			// Two of the three daemons with disks may be down, so the answer can come only after this.
			const timer = setTimeout(() => {
				revive(roles.owner);
				revive(roles.dispatcher);
				bench.bed.cluster.heal();
			}, 4000);
			const answer = await bench.settle(
				bench.healthyEntry([roles.owner, roles.dispatcher]),
				programId,
				[ref, ref],
			);
			clearTimeout(timer);
			revive(roles.owner);
			revive(roles.dispatcher);
			bench.bed.cluster.heal();
			await bench.expectHonest(answer, ref);
			await first;
		},
	);

	it('with the owner killed and its successor frozen', async () => {
		// Guards against a second takeover that takes the first one's open intent for its own.
		const {programId, ref, first, roles} = await bench.sendSlowFee();
		bench.harm(roles.owner, 'SIGKILL');
		const successor = await bench.nextOwner(programId, roles.owner);
		revive(roles.owner);
		bench.harm(successor, 'SIGSTOP');
		const answer = await bench.settle(
			bench.healthyEntry([roles.owner, successor]),
			programId,
			[ref, ref],
		);
		revive(successor);
		await bench.expectHonest(answer, ref);
		await first;
	});
});
