import {asId, type DaemonId} from '@marjoramcove/types';
import {
	createLeaseState,
	evaluatePropagation,
	isLeaseValid,
	type LeaseEvent,
	stepLease,
} from '@marjoramcove/configuration';

/** Deliberate faults of the harness; each must be detected. */
export const LEASE_FAULTS = [
	'claim-unapplied-revision',
	'leader-forgets-predecessor',
	'lease-from-answer',
	'no-drift-allowance',
	'no-wall-clock',
] as const;

export type LeaseFault = (typeof LEASE_FAULTS)[number];

/** One step of 10 ms; `luck` is from 0 to 99. */
export type LeaseChoice = {
	event: 'none' | 'commit' | 'freeze' | 'new-leader' | 'apply';
	luck: number;
};

/** The excess of a lease without the allowance for drift (20 ms) must be longer than a step. */
const LEASE_MS = 2000;
const STEP_MS = 10;
const daemonId = asId<DaemonId>('d1');

/**
 * A leader that commits revisions and a daemon whose clocks are 1% slow. Its monotonic clock stands
 * still while its VM is suspended. The checks use real time.
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

	/** Runs the choices and returns what went wrong. */
	run(choices: LeaseChoice[]): string[] {
		for (const [index, {event, luck}] of choices.entries()) {
			this.#realMs += STEP_MS;
			this.#monotonicMs += STEP_MS * 0.99;
			this.#act(event, luck);
			this.#step({type: 'tick', wallMs: this.#wallMs()}, luck);
			if (index % 10 === 0) {
				this.#step({type: 'send-heartbeat'}, luck);
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

	/** Without the wall clock, a suspension of the VM cannot be seen. */
	#wallMs(): number | undefined {
		return this.#fault === 'no-wall-clock'
			? undefined
			: this.#monotonicMs + this.#suspendedMs;
	}

	#act(event: LeaseChoice['event'], luck: number): void {
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
				// The suspended VM resumes: its monotonic clock did not move.
				this.#realMs += luck * 20;
				this.#suspendedMs += luck * 20;

				break;
			}

			case 'apply': {
				this.#step({type: 'revision-applied', revision: this.#revision}, luck);

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

	#step(event: LeaseEvent, luck: number): void {
		const {actions} = stepLease(this.#lease, event, this.#monotonicMs);
		for (const action of actions) {
			if (action.type === 'send-heartbeat' && luck < 90) {
				this.#messages.push({
					atMs: this.#realMs + luck * 3,
					run: () => {
						this.#answer(action.sequence, action.appliedRevision, luck);
					},
				});
			}
		}
	}

	/** The leader answers after a quorum round; the answer travels for up to 0.2 s. */
	#answer(sequence: number, appliedRevision: number, luck: number): void {
		const digest = {revision: this.#revision, hash: ''};
		this.#grantedAtMs = this.#realMs;
		this.#knowsDaemon = true;
		this.#reportedRevision = Math.max(this.#reportedRevision, appliedRevision);
		this.#messages.push({
			atMs: this.#realMs + luck * 2,
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
					luck,
				);
				if (this.#fault === 'claim-unapplied-revision') {
					this.#lease.appliedRevision = 0;
				}
			},
		});
	}

	/** No daemon works with an old revision after one lease, or when the leader says `in force`. */
	#check(): void {
		if (!isLeaseValid(this.#lease, this.#monotonicMs, this.#wallMs())) {
			return;
		}

		const missing = this.#lease.appliedRevision + 1;
		const committedAtMs = this.#committedAtMs[missing];
		if (missing > this.#revision || committedAtMs === undefined) {
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
			revision: missing,
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
