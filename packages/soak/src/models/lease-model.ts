import {asId, type DaemonId} from '@marjoramcove/types';
import {
	createLeaseState,
	evaluatePropagation,
	isLeaseValid,
	type LeaseEvent,
	stepLease,
} from '@marjoramcove/configuration';

/** Faults that can be injected into the model; each must be detected. */
export const LEASE_FAULTS = [
	'claim-unapplied-revision',
	'leader-forgets-predecessor',
	'lease-from-answer',
	'no-drift-allowance',
	'no-wall-clock',
] as const;

export type LeaseFault = (typeof LEASE_FAULTS)[number];

/** One step of 10 ms; `randomPercent`, from 0 to 99, decides delays and losses. */
export type LeaseChoice = {
	event: 'none' | 'commit' | 'freeze' | 'new-leader' | 'apply';
	randomPercent: number;
};

/** Without the drift allowance a lease lasts 20 ms too long, which must be more than a step. */
const LEASE_MS = 2000;
const STEP_MS = 10;
const daemonId = asId<DaemonId>('d1');

/**
 * A leader that commits revisions and a daemon whose clocks are 1% slow. The monotonic clock of the
 * daemon stops while its VM is suspended. The checks use real time.
 */
export class LeaseModel {
	readonly problems = new Set<string>();
	readonly #fault: LeaseFault | undefined;
	#realMs = 100_000;
	#monotonicMs = 0;
	#suspendedMs = 0;
	readonly #lease: ReturnType<typeof createLeaseState>;
	#revision = 1;
	/** Real time at which each revision was committed. */
	readonly #committedAtMs = [0, 0];
	#grantedAtMs = 0;
	#leaderSinceMs = 0;
	#reportedRevision = 0;
	#knowsDaemon = true;
	#messages: Array<{atMs: number; run: () => void}> = [];

	constructor(fault?: LeaseFault) {
		this.#fault = fault;
		this.#lease = createLeaseState({freezeThresholdMs: 1000});
	}

	/** Runs the choices and returns the problems. */
	run(choices: LeaseChoice[]): string[] {
		for (const [index, {event, randomPercent}] of choices.entries()) {
			this.#realMs += STEP_MS;
			this.#monotonicMs += STEP_MS * 0.99;
			this.#applyEvent(event, randomPercent);
			this.#step({type: 'tick', wallMs: this.#wallMs()}, randomPercent);
			if (index % 10 === 0) {
				this.#step({type: 'send-heartbeat'}, randomPercent);
			}

			const due = this.#messages.filter(({atMs}) => atMs <= this.#realMs);
			this.#messages = this.#messages.filter(({atMs}) => atMs > this.#realMs);
			for (const message of due) {
				message.run();
			}

			this.#check();
		}

		return [...this.problems];
	}

	/** Without the wall clock, a suspension of the VM cannot be detected. */
	#wallMs(): number | undefined {
		return this.#fault === 'no-wall-clock'
			? undefined
			: this.#monotonicMs + this.#suspendedMs;
	}

	#applyEvent(event: LeaseChoice['event'], randomPercent: number): void {
		switch (event) {
			case 'none': {
				break;
			}

			case 'commit': {
				this.#revision++;
				this.#committedAtMs.push(this.#realMs);

				break;
			}

			case 'freeze': {
				// The VM resumes after a suspension, during which its monotonic clock did not advance.
				this.#realMs += randomPercent * 20;
				this.#suspendedMs += randomPercent * 20;

				break;
			}

			case 'apply': {
				this.#step(
					{type: 'revision-applied', revision: this.#revision},
					randomPercent,
				);

				break;
			}

			case 'new-leader': {
				this.#leaderSinceMs =
					this.#fault === 'leader-forgets-predecessor' ? 0 : this.#realMs;
				this.#knowsDaemon = false;

				break;
			}
		}
	}

	#step(event: LeaseEvent, randomPercent: number): void {
		const {actions} = stepLease(this.#lease, event, this.#monotonicMs);
		for (const action of actions) {
			if (action.type === 'send-heartbeat' && randomPercent < 90) {
				this.#messages.push({
					atMs: this.#realMs + randomPercent * 3,
					run: () => {
						this.#answerHeartbeat(
							action.sequence,
							action.appliedRevision,
							randomPercent,
						);
					},
				});
			}
		}
	}

	/** The leader answers after a quorum round; the answer takes up to 0.2 s to arrive. */
	#answerHeartbeat(
		sequence: number,
		appliedRevision: number,
		randomPercent: number,
	): void {
		const digest = {revision: this.#revision, hash: ''};
		this.#grantedAtMs = this.#realMs;
		this.#knowsDaemon = true;
		this.#reportedRevision = Math.max(this.#reportedRevision, appliedRevision);
		this.#messages.push({
			atMs: this.#realMs + randomPercent * 2,
			run: () => {
				if (this.#fault === 'claim-unapplied-revision') {
					this.#lease.appliedRevision = digest.revision;
				} else if (
					this.#fault === 'lease-from-answer' &&
					this.#lease.sentAtMs.has(sequence)
				) {
					this.#lease.sentAtMs.set(sequence, this.#monotonicMs);
				}

				const leaseMs =
					this.#fault === 'no-drift-allowance' ? LEASE_MS / 0.99 : LEASE_MS;
				this.#step(
					{type: 'heartbeat-answered', sequence, leaseMs, digest},
					randomPercent,
				);
				if (this.#fault === 'claim-unapplied-revision') {
					this.#lease.appliedRevision = 0;
				}
			},
		});
	}

	/**
	 * Checks that the daemon does not use an old revision more than one lease after a commit, or once
	 * the leader has reported the new revision as in force.
	 */
	#check(): void {
		if (!isLeaseValid(this.#lease, this.#monotonicMs, this.#wallMs())) {
			return;
		}

		const nextRevision = this.#lease.appliedRevision + 1;
		const committedAtMs = this.#committedAtMs[nextRevision];
		if (nextRevision > this.#revision || committedAtMs === undefined) {
			return;
		}

		this.#report(
			this.#realMs > committedAtMs + LEASE_MS,
			'works with an old revision after one lease',
		);
		const {isInForce} = evaluatePropagation({
			daemons: this.#knowsDaemon
				? [
						{
							daemonId,
							appliedRevision: this.#reportedRevision,
							leaseGrantedAtMs: this.#grantedAtMs,
						},
					]
				: [],
			revision: nextRevision,
			leaseMs: LEASE_MS,
			committedAtMs: Math.max(committedAtMs, this.#leaderSinceMs),
			leaderSinceMs: this.#leaderSinceMs,
			nowMs: this.#realMs,
		});
		this.#report(isInForce, 'reported in force too early');
	}

	#report(isProblem: boolean, problem: string): void {
		if (isProblem) {
			this.problems.add(problem);
		}
	}
}
