import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {errorOf} from '@marjoramcove/test-support';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {FEE_OPERATION, ChargeFeeFixture} from './helpers/charge-fee-fixture.ts';
import {retryRefused} from './helpers/retry-refused.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I2 at-most-once execution and accurate verdicts', () => {
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

	describe.each(['owner', 'dispatcher', 'entry'] as const)('%s', (role) => {
		it.each(['SIGKILL', 'SIGSTOP', 'both', 'outgoing', 'incoming'] as const)(
			'with %s between send and outcome',
			async (fault) => {
				// Guards against a daemon that takes over a call and sends it a second time.
				const {programId, ref, firstAnswer, roles} =
					await fixture.sendSlowCall();
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
			},
		);
	});

	it.each(['lose-answer', 'silent-after-execution'] as const)(
		'reports may-have-run when the answer is lost: %s',
		async (kind) => {
			// Guards against a second execution when the caller resends the call through any daemon.
			const programId = await fixture.bed.caller('d5').openProgram();
			const ref = fixture.nextRef();
			fixture.bed.entryDesk.injectFault('charge-fee', {kind});
			const first = await retryRefused(async () =>
				fixture.bed
					.caller('d5')
					.callTool(programId, FEE_OPERATION, {ref}, {requestId: ref}),
			);
			expect(errorOf(first)?.verdict).toBe('may-have-run');
			const resentId = isFaultInjected('resend-unknown-outcome')
				? `${ref}-again`
				: ref;
			for (const daemonId of ['d4', 'd6']) {
				const resent = await fixture.sendUntilSettled(daemonId, programId, [
					ref,
					resentId,
				]);
				expect(errorOf(resent)?.verdict).toBe('may-have-run');
			}

			expect(fixture.bed.entryDesk.countExecutionsWith('ref', ref)).toBe(1);
		},
	);

	it('runs a call once when it is sent through all daemons concurrently', async () => {
		// Guards against a duplicate check on request ids that are not committed yet.
		const {bed} = fixture;
		const programId = await bed.caller('d5').openProgram();
		const ref = fixture.nextRef();
		bed.entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 300});
		const answers = await Promise.all(
			bed.cluster.daemons.map(async ({daemonId}) =>
				fixture.sendUntilSettled(daemonId, programId, [ref, ref]),
			),
		);
		expect(new Set(answers.map(({body}) => JSON.stringify(body))).size).toBe(1);
		expect(bed.entryDesk.countExecutionsWith('ref', ref)).toBe(1);
	});

	it('refuses a reused request id with a different body', async () => {
		// Guards against returning the answer of another request.
		const {bed} = fixture;
		const programId = await bed.caller('d5').openProgram();
		const ref = fixture.nextRef();
		const send = async (input: unknown) =>
			retryRefused(async () =>
				bed
					.caller('d5')
					.callTool(programId, FEE_OPERATION, input, {requestId: ref}),
			);
		await send({ref});
		const other = await send({ref: 'other'});
		expect(errorOf(other)?.reason).toBe('request-id-reused');
		expect(bed.entryDesk.countExecutionsWith('ref', 'other')).toBe(0);
	});
});
