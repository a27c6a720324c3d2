import {
	type ConfirmationLedger,
	createConfirmationLedger,
	evaluatePropagation,
	isLeaseValid,
	recordConfirmation,
} from '@marjoramcove/configuration';
import {
	createMembershipState,
	createRegistrarTable,
	applySummary,
} from '@marjoramcove/membership';
import {
	type ConfirmMessage,
	type ModelContext,
	ModelDaemon,
	ModelRegistrar,
	REGISTRAR_LEASE_MS,
	type RegistrarLeaseFault,
} from './registrar-lease-processes.ts';

/**
 * One step of 10 ms; `pick` selects a process, and `randomPercent`, from 0 to 99, decides delays and
 * losses.
 */
export type RegistrarLeaseChoice = {
	event:
		| 'none'
		| 'commit'
		| 'freeze'
		| 'suspend'
		| 'cut'
		| 'heal'
		| 'move'
		| 'join'
		| 'restart-registrar'
		| 'new-leader';
	pick: number;
	randomPercent: number;
};

const STEP_MS = 10;
const MAX_DAEMONS = 6;

/** A leader with the state that it has collected since its term began. */
class ModelLeader {
	readonly ledger: ConfirmationLedger = createConfirmationLedger();
	readonly table = createRegistrarTable();
	readonly membership;
	readonly sinceMs: number;

	constructor(nowMs: number) {
		this.sinceMs = nowMs;
		this.membership = createMembershipState({epoch: `${nowMs}`, nowMs});
	}
}

/**
 * Daemons that get their leases from registrars, which confirm their revision with a leader. The
 * monotonic clocks are up to 1% slow; messages are lost, duplicated, delayed and reordered; processes
 * freeze, VMs are suspended, registrars restart or are partitioned in one or both directions, and
 * leaders change.
 */
export class RegistrarLeaseModel implements ModelContext {
	readonly problems = new Set<string>();
	readonly fault: RegistrarLeaseFault | undefined;
	readonly daemons: ModelDaemon[];
	readonly registrars: ModelRegistrar[];
	realMs = 100_000;
	revision = 1;
	randomPercent = 0;
	/** Real time at which each revision was committed. */
	readonly #committedAtMs = [0, 0];
	#leader = new ModelLeader(this.realMs);
	/** Last revision of the previous leader, which never learns of later ones. */
	#deposedRevision = 1;
	#messages: Array<{
		atMs: number;
		to?: {frozenUntilMs: number};
		run: () => void;
	}> = [];

	constructor(fault?: RegistrarLeaseFault) {
		this.fault = fault;
		this.registrars = [0, 1].map(
			(index) => new ModelRegistrar(this, `r${index}`, index === 0 ? 0.99 : 1),
		);
		this.daemons = [0, 1, 2].map(
			(index) =>
				new ModelDaemon(this, `d${index}`, index === 1 ? 1 : 0.99, index * 20),
		);
	}

	/** Runs the choices and returns the problems. */
	run(choices: RegistrarLeaseChoice[]): string[] {
		for (const choice of choices) {
			this.realMs += STEP_MS;
			this.randomPercent = choice.randomPercent;
			this.#applyEvent(choice);
			for (const process of [...this.daemons, ...this.registrars]) {
				process.advance(STEP_MS);
			}

			this.#deliver();
			this.#check();
		}

		return [...this.problems];
	}

	/**
	 * Delivers a message after up to 0.2 s; some messages are lost and some are duplicated with a
	 * longer delay.
	 */
	send(to: {frozenUntilMs: number} | undefined, run: () => void): void {
		const {randomPercent, realMs} = this;
		if (randomPercent >= 90) {
			return;
		}

		this.#messages.push({atMs: realMs + randomPercent * 2, to, run});
		if (randomPercent % 10 === 0) {
			this.#messages.push({atMs: realMs + 350 - randomPercent * 3, to, run});
		}
	}

	/** The leader answers after a quorum round; a deposed leader cannot answer. */
	confirm(message: ConfirmMessage): void {
		if (this.fault === 'confirm-without-round' && message.isForDeposedLeader) {
			message.answer({revision: this.#deposedRevision, hash: ''});
			return;
		}

		const leader = this.#leader;
		this.send(undefined, () => {
			if (leader !== this.#leader) {
				return;
			}

			const isKnown = applySummary(
				leader.table,
				leader.membership,
				message,
				this.realMs,
			);
			if (isKnown) {
				this.#recordConfirmation(leader, message);
			}

			message.answer(isKnown ? {revision: this.revision, hash: ''} : undefined);
		});
	}

	#recordConfirmation(leader: ModelLeader, message: ConfirmMessage): void {
		const {registrarId, incarnation, confirmedRevision, summary} = message;
		const {members} = leader.table.mirrors.get(registrarId)!;
		recordConfirmation(
			leader.ledger,
			{
				key: `${registrarId} ${incarnation}`,
				confirmedRevision,
				held: [...members.values()]
					.map(({report}) => report)
					.filter(
						({daemonId}) => leader.table.holders.get(daemonId) === registrarId,
					),
				removed: summary.removed,
			},
			this.realMs,
		);
	}

	#applyEvent({event, pick, randomPercent}: RegistrarLeaseChoice): void {
		const processes = [...this.registrars, ...this.daemons];
		const process = processes[pick % processes.length]!;
		const registrar = this.registrars[pick % this.registrars.length]!;
		switch (event) {
			case 'none': {
				break;
			}

			case 'commit': {
				this.revision++;
				this.#committedAtMs.push(this.realMs);
				break;
			}

			case 'freeze': {
				process.frozenUntilMs = this.realMs + randomPercent * 30;
				break;
			}

			case 'suspend': {
				process.frozenUntilMs = this.realMs + randomPercent * 30;
				process.isSuspended = true;
				break;
			}

			case 'cut': {
				registrar.isFromLeaderBlocked = randomPercent % 3 !== 0;
				registrar.isToLeaderBlocked = randomPercent % 3 !== 1;
				registrar.isDaemonTrafficBlocked = randomPercent % 2 === 0;
				break;
			}

			case 'heal': {
				registrar.isFromLeaderBlocked = false;
				registrar.isToLeaderBlocked = false;
				break;
			}

			case 'move': {
				this.daemons[pick % this.daemons.length]!.registrar = randomPercent % 2;
				break;
			}

			case 'join': {
				// A daemon that the leader does not know.
				if (this.daemons.length < MAX_DAEMONS) {
					const name = `d${this.daemons.length}`;
					const daemon = new ModelDaemon(this, name, 0.99, 0);
					daemon.registrar = randomPercent % 2;
					this.daemons.push(daemon);
				}

				break;
			}

			case 'restart-registrar': {
				registrar.restart();
				break;
			}

			case 'new-leader': {
				this.#deposedRevision = this.revision;
				this.#leader = new ModelLeader(this.realMs);
				break;
			}
		}
	}

	#deliver(): void {
		const isDue = ({atMs, to}: {atMs: number; to?: {frozenUntilMs: number}}) =>
			atMs <= this.realMs && (to?.frozenUntilMs ?? 0) <= this.realMs;
		const due = this.#messages.filter((message) => isDue(message));
		this.#messages = this.#messages.filter((message) => !isDue(message));
		for (const message of due) {
			message.run();
		}
	}

	/**
	 * Checks that no daemon uses an old revision more than one lease after a commit, or once the
	 * leader has reported the new revision as in force.
	 */
	#check(): void {
		for (const daemon of this.daemons) {
			const nextRevision = daemon.lease.appliedRevision + 1;
			const committedAtMs = this.#committedAtMs[nextRevision];
			const {nowMs, wallMs} = daemon.time;
			if (
				committedAtMs !== undefined &&
				daemon.frozenUntilMs <= this.realMs &&
				isLeaseValid(daemon.lease, nowMs, wallMs)
			) {
				this.#report(
					this.realMs > committedAtMs + REGISTRAR_LEASE_MS,
					'works with an old revision after one lease',
				);
				this.#report(
					this.#isInForce(nextRevision, committedAtMs),
					'reported in force too early',
				);
			}
		}
	}

	#isInForce(revision: number, committedAtMs: number): boolean {
		const {ledger, sinceMs} = this.#leader;
		return evaluatePropagation({
			daemons: [...ledger.daemons.values()],
			registrars:
				this.fault === 'ignore-registrars'
					? []
					: [...ledger.registrars.values()],
			revision,
			leaseMs: REGISTRAR_LEASE_MS,
			committedAtMs: Math.max(committedAtMs, sinceMs),
			leaderSinceMs: sinceMs,
			nowMs: this.realMs,
		}).isInForce;
	}

	#report(isProblem: boolean, problem: string): void {
		if (isProblem) {
			this.problems.add(problem);
		}
	}
}
