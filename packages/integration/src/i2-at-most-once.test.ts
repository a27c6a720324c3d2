import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	type Answer,
	errorOf,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {
	findDispatcher,
	findLeader,
	groupOf,
	waitForStableRoles,
} from './helpers/find-roles.ts';
import {isRefused, retryRefused} from './helpers/retry-refused.ts';
import {settleQuietly} from './helpers/settle-quietly.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

const operation = 'entry-desk/charge-fee';

describe('I2 at most once, honest verdicts', () => {
	let bed: TestBed;
	let serial = 0;

	beforeAll(async () => {
		bed = await TestBed.start({daemonCount: 6, engineCount: 1, proxied: true});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		bed.entryDesk.clearFaults();
		bed.cluster.heal();
		for (const daemon of bed.cluster.daemons) {
			daemon.signal('SIGCONT');
			if (!daemon.running) {
				daemon.start();
			}
		}

		await bed.cluster.ready();
		await waitForStableRoles(bed, 'entry-desk-1');
	});

	afterAll(async () => {
		await bed.stop();
	});

	/** Sends the call until its outcome is recorded, as a caller with an unknown outcome does. */
	const settle = async (
		daemonId: string,
		programId: string,
		[ref, requestId]: [string, string],
	): Promise<Answer> =>
		waitFor(
			`the outcome of ${ref}`,
			async () => {
				const answer = await bed
					.caller(daemonId)
					.callTool(programId, operation, {ref}, {requestId, timeoutMs: 8000});
				return isRefused(answer) || answer.status === 0 ? undefined : answer;
			},
			{timeoutMs: 40_000, intervalMs: 200},
		);

	/** Fails when an execution contradicts the verdict; waits for late executions first. */
	const expectHonest = async (answer: Answer, ref: string, lateMs: number) => {
		const until = Date.now() + lateMs;
		await waitFor('late executions', () => Date.now() > until, {
			timeoutMs: lateMs + 5000,
		});
		const count = bed.entryDesk.executionsWith('ref', ref);
		const verdict = errorOf(answer)?.verdict ?? 'ran';
		expect({verdict, count}).toSatisfy(
			(seen: {verdict: string; count: number}) =>
				seen.count <= 1 &&
				(seen.verdict !== 'not-run' || seen.count === 0) &&
				(seen.verdict !== 'ran' || seen.count === 1),
		);
	};

	/** Sends a call until it is accepted, and ignores the loss of its connection. */
	const sendFirst = async (programId: string, ref: string) =>
		settleQuietly(
			waitFor('the acceptance', async () => {
				try {
					const answer = await bed
						.caller('d5')
						.callTool(programId, operation, {ref}, {requestId: ref});
					return isRefused(answer) ? undefined : {answer};
				} catch {
					return {answer: undefined};
				}
			}),
		);

	/** Kills or freezes a daemon, or makes its links to the others silent. */
	const harmDaemon = (
		daemonId: string,
		harm: 'SIGKILL' | 'SIGSTOP' | 'both' | 'outgoing',
	) => {
		if (harm === 'both' || harm === 'outgoing') {
			bed.cluster.isolate(daemonId, harm);
		} else {
			bed.cluster.daemon(daemonId).signal(harm);
		}
	};

	const nextRef = () => `fee-${++serial}`;

	const rolesOf = async (programId: string) => {
		const caller = bed.caller('d6');
		return {
			owner: await findLeader(caller, groupOf(programId)),
			dispatcher: await findDispatcher(caller, 'entry-desk-1'),
			entry: 'd5',
		};
	};

	/** A daemon other than the harmed one, for resending. */
	const healthyEntry = (harmed: string) =>
		bed.cluster.daemons.findLast(({daemonId}) => daemonId !== harmed)!.daemonId;

	describe.each(['owner', 'dispatcher', 'entry'] as const)('%s', (role) => {
		it.each(['SIGKILL', 'SIGSTOP', 'both', 'outgoing'] as const)(
			'with %s between send and outcome',
			async (harm) => {
				// Guards against a second sending by the process that takes over.
				const programId = await bed.caller('d5').openProgram();
				const ref = nextRef();
				bed.entryDesk.injectFault('charge-fee', {
					kind: 'delay',
					delayMs: 1000,
				});
				const received = bed.entryDesk.receivedCount;
				const first = sendFirst(programId, ref);
				await waitFor(
					'the call to reach the service',
					() => bed.entryDesk.receivedCount > received,
				);
				const roles = await rolesOf(programId);
				const harmed = bed.cluster.daemon(roles[role]);
				harmDaemon(roles[role], harm);
				const answer = await settle(healthyEntry(roles[role]), programId, [
					ref,
					ref,
				]);
				harmed.signal('SIGCONT');
				bed.cluster.heal();
				await expectHonest(answer, ref, 1500);
				await first;
			},
		);

		it.each(['SIGKILL', 'SIGSTOP'] as const)(
			'with %s between intent and send',
			async (signal) => {
				// Guards against a not-run verdict for a call that a frozen process sends after it resumes.
				const occupied = Array.from({length: 16}, nextRef);
				const blockers = await Promise.all(
					occupied.map(async () => bed.caller('d5').openProgram()),
				);
				for (const _ of occupied) {
					bed.entryDesk.injectFault('charge-fee', {
						kind: 'delay',
						delayMs: 1000,
					});
				}

				const received = bed.entryDesk.receivedCount;
				const blocking = blockers.map(async (programId, index) =>
					settleQuietly(
						bed
							.caller('d5')
							.callTool(
								programId,
								operation,
								{ref: occupied[index]},
								{requestId: 'blocker'},
							),
					),
				);
				await waitFor(
					'all slots to be taken',
					() => bed.entryDesk.receivedCount >= received + 16,
				);
				const programId = await bed.caller('d5').openProgram();
				const ref = nextRef();
				const first = sendFirst(programId, ref);
				await waitFor('the intent', async () => {
					const program = await bed.caller('d6').readProgram(programId);
					return JSON.stringify(program.body).includes(ref);
				});
				const roles = await rolesOf(programId);
				const harmed = bed.cluster.daemon(roles[role]);
				harmed.signal(signal);
				const answer = await settle(healthyEntry(roles[role]), programId, [
					ref,
					ref,
				]);
				harmed.signal('SIGCONT');
				await expectHonest(answer, ref, 1500);
				await Promise.all([first, ...blocking]);
				for (const blocker of occupied) {
					expect(
						bed.entryDesk.executionsWith('ref', blocker),
					).toBeLessThanOrEqual(1);
				}
			},
		);
	});

	it.each(['lose-answer', 'silent-after-execution'] as const)(
		'reports may-have-run when the answer is lost: %s',
		async (kind) => {
			// Guards against a repetition after a lost answer, through any daemon.
			const programId = await bed.caller('d5').openProgram();
			const ref = nextRef();
			bed.entryDesk.injectFault('charge-fee', {kind});
			const first = await retryRefused(async () =>
				bed
					.caller('d5')
					.callTool(programId, operation, {ref}, {requestId: ref}),
			);
			expect(errorOf(first)?.verdict).toBe('may-have-run');
			const resentId = isFaultInjected('resend-unknown-outcome')
				? `${ref}-again`
				: ref;
			for (const daemonId of ['d4', 'd6']) {
				const resent = await settle(daemonId, programId, [ref, resentId]);
				expect(errorOf(resent)?.verdict).toBe('may-have-run');
			}

			expect(bed.entryDesk.executionsWith('ref', ref)).toBe(1);
		},
	);

	it('runs a call once when it is resent through all daemons at the same time', async () => {
		// Guards against a request id that is checked before it is committed.
		const programId = await bed.caller('d5').openProgram();
		const ref = nextRef();
		bed.entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 300});
		const answers = await Promise.all(
			bed.cluster.daemons.map(async ({daemonId}) =>
				settle(daemonId, programId, [ref, ref]),
			),
		);
		expect(new Set(answers.map(({body}) => JSON.stringify(body))).size).toBe(1);
		expect(bed.entryDesk.executionsWith('ref', ref)).toBe(1);
	});

	it('refuses a request id with another body', async () => {
		// Guards against an answer that belongs to another request.
		const programId = await bed.caller('d5').openProgram();
		const ref = nextRef();
		const send = async (input: unknown) =>
			retryRefused(async () =>
				bed
					.caller('d5')
					.callTool(programId, operation, input, {requestId: ref}),
			);
		await send({ref});
		const other = await send({ref: 'other'});
		expect(errorOf(other)?.reason).toBe('request-id-reused');
		expect(bed.entryDesk.executionsWith('ref', 'other')).toBe(0);
	});
});
