import {
	type Answer,
	errorOf,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {
	findDispatcher,
	findLeader,
	groupIdOf,
	waitForStableRoles,
} from './find-roles.ts';
import {isRefused} from './retry-refused.ts';
import {ignoreFailure} from './ignore-failure.ts';

/** The non-idempotent operation that all I2 tests call. */
export const FEE_OPERATION = 'entry-desk/charge-fee';

/** Entry daemon to which each call is sent first. */
export const ENTRY_DAEMON = 'd5';

const OBSERVER_DAEMON = 'd6';

/** Time for which the slots stay occupied after the intent of the queued call was seen. */
const SLOTS_OCCUPIED_MS = 1000;

/** Fault of a daemon: a signal, or the direction in which its links to other daemons are silenced. */
export type DaemonFault =
	'SIGKILL' | 'SIGSTOP' | 'both' | 'outgoing' | 'incoming';

/** Role of a daemon in a call. */
export type CallRole = 'owner' | 'dispatcher' | 'entry';

/** A sent call and the daemons that process it. */
export type SentCall = {
	programId: string;
	ref: string;
	/** Resolves with the first response, or when its connection is lost. */
	firstAnswer: Promise<unknown>;
	roles: Record<CallRole, string>;
};

/** Test bed with six daemons, a proxy on each link, and the non-idempotent operation `charge-fee`. */
export class ChargeFeeFixture {
	static async start(): Promise<ChargeFeeFixture> {
		const bed = await TestBed.start({
			daemonCount: 6,
			engineCount: 1,
			proxied: true,
		});
		return new ChargeFeeFixture(bed);
	}

	readonly #bed: TestBed;
	#refCount = 0;

	constructor(bed: TestBed) {
		this.#bed = bed;
	}

	get bed(): TestBed {
		return this.#bed;
	}

	nextRef(): string {
		this.#refCount += 1;
		return `fee-${this.#refCount}`;
	}

	/** Ends all faults and waits until the roles of the cluster are stable. */
	async recover(): Promise<void> {
		const {cluster, entryDesk} = this.bed;
		entryDesk.clearFaults();
		cluster.heal();
		for (const daemon of cluster.daemons) {
			daemon.signal('SIGCONT');
		}

		await cluster.restartStopped();
		await waitForStableRoles(this.bed, 'entry-desk-1');
	}

	/** Kills or suspends a daemon, or silences its links to the other daemons. */
	injectFault(daemonId: string, fault: DaemonFault): void {
		if (fault === 'SIGKILL' || fault === 'SIGSTOP') {
			this.bed.cluster.daemon(daemonId).signal(fault);
		} else {
			this.bed.cluster.isolate(daemonId, fault);
		}
	}

	/** Sends a call that the service delays by a second, and waits until the service has received it. */
	async sendSlowCall(): Promise<SentCall> {
		const {entryDesk} = this.bed;
		const programId = await this.bed.caller(ENTRY_DAEMON).openProgram();
		const ref = this.nextRef();
		entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 1000});
		const received = entryDesk.receivedCount;
		const firstAnswer = this.#sendUntilAccepted(programId, ref);
		await waitFor(
			'the call to reach the service',
			() => entryDesk.receivedCount > received,
		);
		return {programId, ref, firstAnswer, roles: await this.#rolesOf(programId)};
	}

	/** Sends a call whose intent is committed while all slots of the service are occupied. */
	async sendQueuedCall(): Promise<SentCall & {blockingRefs: string[]}> {
		const {entryDesk} = this.bed;
		const blockingRefs = Array.from({length: 16}, () => this.nextRef());
		let freeSlots!: () => void;
		const freed = new Promise<void>((resolve) => {
			freeSlots = resolve;
		});
		const blockingCalls = await this.#occupyAllSlots(blockingRefs, freed);
		const programId = await this.bed.caller(ENTRY_DAEMON).openProgram();
		const ref = this.nextRef();
		let settledAs = 'no answer yet';
		const send = async () => {
			const answer = await this.#sendUntilAccepted(programId, ref);
			settledAs = JSON.stringify(answer) ?? 'no acceptance';
		};

		const firstAnswer = send();
		try {
			await waitFor('the intent', async () => {
				const program = await this.bed
					.caller(OBSERVER_DAEMON)
					.readProgram(programId);
				const body = JSON.stringify(program.body);
				if (!body.includes(ref)) {
					throw new Error(
						`the program is ${body}; the call ended with: ${settledAs}`,
					);
				}

				return true;
			});
		} finally {
			setTimeout(freeSlots, SLOTS_OCCUPIED_MS);
		}

		return {
			programId,
			ref,
			firstAnswer: Promise.all([firstAnswer, ...blockingCalls]),
			roles: await this.#rolesOf(programId),
			blockingRefs,
		};
	}

	/** Waits until another daemon owns the program, and returns it. */
	async waitForNextOwner(
		programId: string,
		previousOwner: string,
	): Promise<string> {
		return findLeader(
			this.bed.caller(OBSERVER_DAEMON),
			groupIdOf(programId),
			previousOwner,
		);
	}

	/** Returns a daemon without a fault, for resending. */
	pickHealthyDaemon(faultyDaemons: string[]): string {
		return this.bed.cluster.daemons.findLast(
			({daemonId}) => !faultyDaemons.includes(daemonId),
		)!.daemonId;
	}

	/** Resends a call until its outcome is recorded, as a caller does when the outcome is unknown. */
	async sendUntilSettled(
		daemonId: string,
		programId: string,
		[ref, requestId]: [string, string],
	): Promise<Answer> {
		return waitFor(
			`the outcome of ${ref}`,
			async () => {
				const answer = await this.bed
					.caller(daemonId)
					.callTool(
						programId,
						FEE_OPERATION,
						{ref},
						{requestId, timeoutMs: 8000},
					);
				return isRefused(answer) || answer.status === 0 ? undefined : answer;
			},
			{timeoutMs: 40_000, intervalMs: 200},
		);
	}

	/** Waits for late executions, then throws when their number contradicts the verdict. */
	async expectVerdictMatchesExecutions(
		answer: Answer,
		ref: string,
	): Promise<void> {
		const settleMs = 1500;
		const until = Date.now() + settleMs;
		await waitFor('late executions', () => Date.now() > until, {
			timeoutMs: settleMs + 5000,
		});
		const count = this.bed.entryDesk.countExecutionsWith('ref', ref);
		const verdict = errorOf(answer)?.verdict ?? 'ran';
		const isConsistent =
			count <= 1 &&
			(verdict !== 'not-run' || count === 0) &&
			(verdict !== 'ran' || count === 1);
		if (!isConsistent) {
			throw new Error(
				`${ref} has the verdict ${verdict} and ${count} executions: ${JSON.stringify(answer.body)}`,
			);
		}
	}

	async #rolesOf(programId: string): Promise<Record<CallRole, string>> {
		const caller = this.bed.caller(OBSERVER_DAEMON);
		return {
			owner: await findLeader(caller, groupIdOf(programId)),
			dispatcher: await findDispatcher(caller, 'entry-desk-1'),
			entry: ENTRY_DAEMON,
		};
	}

	/** Sends a call until it is accepted; the loss of its connection is ignored. */
	async #sendUntilAccepted(programId: string, ref: string): Promise<unknown> {
		return ignoreFailure(
			waitFor('the acceptance', async () => {
				try {
					const answer = await this.bed
						.caller(ENTRY_DAEMON)
						.callTool(programId, FEE_OPERATION, {ref}, {requestId: ref});
					return isRefused(answer) ? undefined : {answer};
				} catch {
					return {answer: undefined};
				}
			}),
		);
	}

	/** @param freed - fulfilled when the calls may end. */
	async #occupyAllSlots(
		refs: string[],
		freed: Promise<void>,
	): Promise<Array<Promise<unknown>>> {
		const {entryDesk} = this.bed;
		const caller = this.bed.caller(ENTRY_DAEMON);
		const programs = await Promise.all(
			refs.map(async () => caller.openProgram()),
		);
		for (const _ of refs) {
			entryDesk.injectFault('charge-fee', {kind: 'hold', until: freed});
		}

		const received = entryDesk.receivedCount;
		const calls = programs.map(async (programId, index) =>
			ignoreFailure(
				caller.callTool(
					programId,
					FEE_OPERATION,
					{ref: refs[index]},
					{requestId: 'blocker'},
				),
			),
		);
		await waitFor(
			'all slots to be occupied',
			() => entryDesk.receivedCount >= received + refs.length,
		);
		return calls;
	}
}
