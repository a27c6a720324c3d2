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
} from './find-roles.ts';
import {isRefused} from './retry-refused.ts';
import {settleQuietly} from './settle-quietly.ts';

/** The non-idempotent operation that all tests of I2 call. */
export const FEE_OPERATION = 'entry-desk/charge-fee';

/** Daemon through which the first copy of each call goes. */
export const FIRST_ENTRY = 'd5';

const WATCHING_ENTRY = 'd6';

/** What can happen to a daemon: signals, or links to the others that fall silent. */
export type Harm = 'SIGKILL' | 'SIGSTOP' | 'both' | 'outgoing' | 'incoming';

/** Step of a call that a daemon carries out. */
export type CallRole = 'owner' | 'dispatcher' | 'entry';

/** A call with its service, and the daemons that carry it out. */
export type SentFee = {
	programId: string;
	ref: string;
	/** Ends with the first answer, or with the loss of its connection. */
	first: Promise<unknown>;
	roles: Record<CallRole, string>;
};

/** Six daemons with a proxy on each link, and one service that charges fees. */
export class FeeBench {
	static async start(): Promise<FeeBench> {
		const bed = await TestBed.start({
			daemonCount: 6,
			engineCount: 1,
			proxied: true,
		});
		return new FeeBench(bed);
	}

	readonly #bed: TestBed;
	#serial = 0;

	constructor(bed: TestBed) {
		this.#bed = bed;
	}

	get bed(): TestBed {
		return this.#bed;
	}

	nextRef(): string {
		this.#serial += 1;
		return `fee-${this.#serial}`;
	}

	/** Ends all faults and waits until the cluster works again. */
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

	/** Kills or freezes a daemon, or makes its links to the others silent. */
	harm(daemonId: string, harm: Harm): void {
		if (harm === 'SIGKILL' || harm === 'SIGSTOP') {
			this.bed.cluster.daemon(daemonId).signal(harm);
		} else {
			this.bed.cluster.isolate(daemonId, harm);
		}
	}

	/** Sends a fee that the service holds for a second, and waits until the service has it. */
	async sendSlowFee(): Promise<SentFee> {
		const {entryDesk} = this.bed;
		const programId = await this.bed.caller(FIRST_ENTRY).openProgram();
		const ref = this.nextRef();
		entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 1000});
		const received = entryDesk.receivedCount;
		const first = this.#sendFirst(programId, ref);
		await waitFor(
			'the call to reach the service',
			() => entryDesk.receivedCount > received,
		);
		return {programId, ref, first, roles: await this.#rolesOf(programId)};
	}

	/** Sends a fee whose intent is committed while all slots of the service are taken. */
	async sendQueuedFee(): Promise<SentFee & {blockers: string[]}> {
		const {entryDesk} = this.bed;
		const blockers = Array.from({length: 16}, () => this.nextRef());
		const blocking = await this.#takeAllSlots(blockers);
		const programId = await this.bed.caller(FIRST_ENTRY).openProgram();
		const ref = this.nextRef();
		const first = this.#sendFirst(programId, ref);
		await waitFor('the intent', async () => {
			const program = await this.bed
				.caller(WATCHING_ENTRY)
				.readProgram(programId);
			return JSON.stringify(program.body).includes(ref);
		});
		return {
			programId,
			ref,
			first: Promise.all([first, ...blocking]),
			roles: await this.#rolesOf(programId),
			blockers,
		};
	}

	/** Waits until another daemon owns the program. */
	async nextOwner(programId: string, former: string): Promise<string> {
		return findLeader(
			this.bed.caller(WATCHING_ENTRY),
			groupOf(programId),
			former,
		);
	}

	/** A daemon that none of the faults harms, for resending. */
	healthyEntry(harmed: string[]): string {
		return this.bed.cluster.daemons.findLast(
			({daemonId}) => !harmed.includes(daemonId),
		)!.daemonId;
	}

	/** Sends the call until its outcome is recorded, as a caller with an unknown outcome does. */
	async settle(
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

	/** Throws when an execution contradicts the verdict; waits for late executions first. */
	async expectHonest(answer: Answer, ref: string): Promise<void> {
		const lateMs = 1500;
		const until = Date.now() + lateMs;
		await waitFor('late executions', () => Date.now() > until, {
			timeoutMs: lateMs + 5000,
		});
		const count = this.bed.entryDesk.executionsWith('ref', ref);
		const verdict = errorOf(answer)?.verdict ?? 'ran';
		const isHonest =
			count <= 1 &&
			(verdict !== 'not-run' || count === 0) &&
			(verdict !== 'ran' || count === 1);
		if (!isHonest) {
			throw new Error(
				`${ref} has the verdict ${verdict} and ${count} executions: ${JSON.stringify(answer.body)}`,
			);
		}
	}

	async #rolesOf(programId: string): Promise<Record<CallRole, string>> {
		const caller = this.bed.caller(WATCHING_ENTRY);
		return {
			owner: await findLeader(caller, groupOf(programId)),
			dispatcher: await findDispatcher(caller, 'entry-desk-1'),
			entry: FIRST_ENTRY,
		};
	}

	/** Sends a call until it is accepted, and ignores the loss of its connection. */
	async #sendFirst(programId: string, ref: string): Promise<unknown> {
		return settleQuietly(
			waitFor('the acceptance', async () => {
				try {
					const answer = await this.bed
						.caller(FIRST_ENTRY)
						.callTool(programId, FEE_OPERATION, {ref}, {requestId: ref});
					return isRefused(answer) ? undefined : {answer};
				} catch {
					return {answer: undefined};
				}
			}),
		);
	}

	async #takeAllSlots(refs: string[]): Promise<Array<Promise<unknown>>> {
		const {entryDesk} = this.bed;
		const caller = this.bed.caller(FIRST_ENTRY);
		const programs = await Promise.all(
			refs.map(async () => caller.openProgram()),
		);
		for (const _ of refs) {
			entryDesk.injectFault('charge-fee', {kind: 'delay', delayMs: 1000});
		}

		const received = entryDesk.receivedCount;
		const calls = programs.map(async (programId, index) =>
			settleQuietly(
				caller.callTool(
					programId,
					FEE_OPERATION,
					{ref: refs[index]},
					{requestId: 'blocker'},
				),
			),
		);
		await waitFor(
			'all slots to be taken',
			() => entryDesk.receivedCount >= received + refs.length,
		);
		return calls;
	}
}
