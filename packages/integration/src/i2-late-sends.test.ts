import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	ChargeFeeFixture,
	type DaemonFault,
} from './helpers/charge-fee-fixture.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I2 late sends', () => {
	let fixture: ChargeFeeFixture;

	beforeAll(async () => {
		fixture = await ChargeFeeFixture.start();
	});

	afterEach(async (context) => {
		showLogsOnFailure(fixture.bed, context);
		await fixture.recover();
	});

	afterAll(async () => {
		await fixture.bed.stop();
	});

	/** Resumes a suspended daemon, and restarts a killed one. */
	const resumeOrRestart = (daemonId: string) => {
		const daemon = fixture.bed.cluster.daemon(daemonId);
		daemon.signal('SIGCONT');
		if (!daemon.running) {
			daemon.start();
		}
	};

	describe.each(['owner', 'dispatcher', 'entry'] as const)('%s', (role) => {
		it.each(['SIGKILL', 'SIGSTOP', 'outgoing', 'incoming'] as const)(
			'with %s between intent and send',
			async (fault) => {
				// Guards against a not-run verdict for a call that a suspended daemon sends after it resumes.
				const {programId, ref, firstAnswer, roles, blockingRefs} =
					await fixture.sendQueuedCall();
				const faultyDaemon = roles[role];
				fixture.injectFault(faultyDaemon, fault);
				const answer = await fixture.sendUntilSettled(
					fixture.pickHealthyDaemon([faultyDaemon]),
					programId,
					[ref, ref],
				);
				fixture.bed.cluster.daemon(faultyDaemon).signal('SIGCONT');
				fixture.bed.cluster.heal();
				await fixture.expectVerdictMatchesExecutions(answer, ref);
				await firstAnswer;
				for (const blockingRef of blockingRefs) {
					expect(
						fixture.bed.entryDesk.countExecutionsWith('ref', blockingRef),
					).toBeLessThanOrEqual(1);
				}
			},
		);
	});

	const pairs: Array<[DaemonFault, DaemonFault]> = [
		['SIGKILL', 'SIGSTOP'],
		['SIGSTOP', 'SIGKILL'],
		['outgoing', 'SIGSTOP'],
		['incoming', 'outgoing'],
	];
	it.each(pairs)(
		'with %s of the owner and %s of the dispatcher at the same time',
		async (ownerFault, dispatcherFault) => {
			// Guards against an outcome that is lost when the owner and the dispatcher each rely on the other.
			const {programId, ref, firstAnswer, roles} = await fixture.sendSlowCall();
			fixture.injectFault(roles.owner, ownerFault);
			if (roles.dispatcher !== roles.owner) {
				fixture.injectFault(roles.dispatcher, dispatcherFault);
			}

			// Two of the three daemons with disks may be down, so the answer may need one of them to recover.
			const recoveryTimer = setTimeout(() => {
				resumeOrRestart(roles.owner);
				resumeOrRestart(roles.dispatcher);
				fixture.bed.cluster.heal();
			}, 4000);
			const answer = await fixture.sendUntilSettled(
				fixture.pickHealthyDaemon([roles.owner, roles.dispatcher]),
				programId,
				[ref, ref],
			);
			clearTimeout(recoveryTimer);
			resumeOrRestart(roles.owner);
			resumeOrRestart(roles.dispatcher);
			fixture.bed.cluster.heal();
			await fixture.expectVerdictMatchesExecutions(answer, ref);
			await firstAnswer;
		},
	);

	it('with the owner killed and its successor suspended', async () => {
		// Guards against a second takeover that mistakes the open intent of the first for its own.
		const {programId, ref, firstAnswer, roles} = await fixture.sendSlowCall();
		fixture.injectFault(roles.owner, 'SIGKILL');
		const successor = await fixture.waitForNextOwner(programId, roles.owner);
		resumeOrRestart(roles.owner);
		fixture.injectFault(successor, 'SIGSTOP');
		const answer = await fixture.sendUntilSettled(
			fixture.pickHealthyDaemon([roles.owner, successor]),
			programId,
			[ref, ref],
		);
		resumeOrRestart(successor);
		await fixture.expectVerdictMatchesExecutions(answer, ref);
		await firstAnswer;
	});
});
