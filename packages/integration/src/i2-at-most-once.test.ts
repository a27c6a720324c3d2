import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {errorOf} from '@marjoramcove/test-support';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {FEE_OPERATION, FeeBench} from './helpers/fee-bench.ts';
import {retryRefused} from './helpers/retry-refused.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I2 at most once, honest verdicts', () => {
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

	describe.each(['owner', 'dispatcher', 'entry'] as const)('%s', (role) => {
		it.each(['SIGKILL', 'SIGSTOP', 'both', 'outgoing', 'incoming'] as const)(
			'with %s between send and outcome',
			async (harm) => {
				// Guards against a second sending by the process that takes over.
				const {programId, ref, first, roles} = await bench.sendSlowFee();
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
			},
		);
	});

	it.each(['lose-answer', 'silent-after-execution'] as const)(
		'reports may-have-run when the answer is lost: %s',
		async (kind) => {
			// Guards against a repetition after a lost answer, through any daemon.
			const programId = await bench.bed.caller('d5').openProgram();
			const ref = bench.nextRef();
			bench.bed.entryDesk.injectFault('charge-fee', {kind});
			const first = await retryRefused(async () =>
				bench.bed
					.caller('d5')
					.callTool(programId, FEE_OPERATION, {ref}, {requestId: ref}),
			);
			expect(errorOf(first)?.verdict).toBe('may-have-run');
			const resentId = isFaultInjected('resend-unknown-outcome')
				? `${ref}-again`
				: ref;
			for (const daemonId of ['d4', 'd6']) {
				const resent = await bench.settle(daemonId, programId, [ref, resentId]);
				expect(errorOf(resent)?.verdict).toBe('may-have-run');
			}

			expect(bench.bed.entryDesk.executionsWith('ref', ref)).toBe(1);
		},
	);

	it('runs a call once when it is resent through all daemons at the same time', async () => {
		// Guards against a request id that is checked before it is committed.
		const {bed} = bench;
		const programId = await bed.caller('d5').openProgram();
		const ref = bench.nextRef();
		bed.entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 300});
		const answers = await Promise.all(
			bed.cluster.daemons.map(async ({daemonId}) =>
				bench.settle(daemonId, programId, [ref, ref]),
			),
		);
		expect(new Set(answers.map(({body}) => JSON.stringify(body))).size).toBe(1);
		expect(bed.entryDesk.executionsWith('ref', ref)).toBe(1);
	});

	it('refuses a request id with another body', async () => {
		// Guards against an answer that belongs to another request.
		const {bed} = bench;
		const programId = await bed.caller('d5').openProgram();
		const ref = bench.nextRef();
		const send = async (input: unknown) =>
			retryRefused(async () =>
				bed
					.caller('d5')
					.callTool(programId, FEE_OPERATION, input, {requestId: ref}),
			);
		await send({ref});
		const other = await send({ref: 'other'});
		expect(errorOf(other)?.reason).toBe('request-id-reused');
		expect(bed.entryDesk.executionsWith('ref', 'other')).toBe(0);
	});
});
