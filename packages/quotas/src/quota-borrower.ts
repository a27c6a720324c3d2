import type {CallerId} from '@marjoramcove/types';
import {CREDIT_LIFETIME_MS} from './derive-capacity.ts';
import type {
	CreditAnswer,
	CreditGrant,
	CreditMessage,
	CreditRequest,
	RequestClass,
} from './quota-messages.ts';
import {
	type QuotaDecision,
	type QuotaRequest,
	refuse,
	type SettledTicket,
} from './quota-decision.ts';
import {RecentPrograms} from './recent-programs.ts';
import {type Loan, TeamCredit, type Waiter} from './team-credit.ts';

/** Time for which requests are collected into one message; short against the latency of a plain call. */
const BATCH_MS = 3;

/** Time for which requests of a team that was just refused are collected, which bounds its messages. */
const REFUSED_BATCH_MS = 20;

/** Pause after a message without an answer; an election takes several hundred milliseconds. */
const LOSS_PAUSE_MS = 30;

/** Longest delay of a message that only gives credit back. */
const RETURN_DELAY_MS = 100;

/** Interval at which idle teams are dropped. */
const PRUNE_INTERVAL_MS = 10_000;

type Ticket = {teamId: CallerId; requestClass: RequestClass; loan: Loan};

/**
 * Borrows credit for the requests of an entry daemon and gives back what was not used. It uses one message
 * for all teams, and none while no request waits and nothing is to be given back.
 *
 * The load that it answers: teams of thousands of requests per second beside teams of one request per
 * second, while owners change and messages are lost.
 *
 * @example
 * ```ts
 * const borrower = new QuotaBorrower('entry-1/incarnation');
 * const {ticket, decision} = borrower.take(request, nowMs);
 * const message = borrower.createMessage(nowMs);
 * const settled = borrower.handleAnswer(message.sequence, answer, nowMs);
 * borrower.finish(ticket, {hasRun: true}, nowMs);
 * ```
 */
export class QuotaBorrower {
	readonly #borrowerId: string;
	readonly #teams = new Map<CallerId, TeamCredit>();
	/** Teams for which a message may be due; far fewer than all teams. */
	readonly #activeTeams = new Set<CallerId>();
	readonly #tickets = new Map<number, Ticket>();
	readonly #waitingTeams = new Map<number, CallerId>();
	readonly #programs = new RecentPrograms();
	#nextTicket = 1;
	#sequence = 0;
	#pending: {sequence: number; sentAtMs: number} | undefined;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;
	#ownerEpoch: string | undefined;
	#prunedAtMs = Number.NEGATIVE_INFINITY;

	/** @param borrowerId - differs for each process, so that its sequence numbers start anew. */
	constructor(borrowerId: string) {
		this.#borrowerId = borrowerId;
	}

	/** Takes a credit; without a decision, the request waits until its ticket is settled. */
	take(
		request: QuotaRequest,
		nowMs: number,
	): {ticket: number; decision?: QuotaDecision} {
		const {teamId, programHash} = request;
		const ticket = this.#nextTicket++;
		const team = this.#team(teamId);
		const requestClass = this.#classify(request, nowMs);
		if (requestClass === 'continuing') {
			team.recordArrival(nowMs);
			const loan = team.take(nowMs, this.#ownerEpoch);
			if (loan) {
				this.#tickets.set(ticket, {teamId, requestClass, loan});
				return {ticket, decision: {type: 'granted'}};
			}
		}

		team.waiters.push({
			ticket,
			requestClass,
			programHash: requestClass === 'first-turn' ? programHash : undefined,
			sinceMs: nowMs,
		});
		this.#waitingTeams.set(ticket, teamId);
		this.#activeTeams.add(teamId);
		return {ticket};
	}

	/** Whether the credit of a granted request may still be used; otherwise it must be taken anew. */
	isCurrent(ticket: number, nowMs: number): boolean {
		const {loan} = this.#tickets.get(ticket) ?? {};
		return loan !== undefined && nowMs < loan.askedAtMs + CREDIT_LIFETIME_MS;
	}

	/** Ends a request, which may still wait; its credit goes back once if it did not run. */
	finish(ticket: number, {hasRun}: {hasRun: boolean}, nowMs: number): void {
		this.#removeWaiter(ticket);
		const granted = this.#tickets.get(ticket);
		this.#tickets.delete(ticket);
		if (granted && !hasRun) {
			const {teamId, requestClass, loan} = granted;
			this.#giveBack(teamId, requestClass, {loan, count: 1, nowMs});
		}
	}

	/** Time at which the next message is due; infinite if none is needed or one is on its way. */
	nextMessageAtMs(): number {
		if (this.#pending) {
			return Infinity;
		}

		let atMs = Infinity;
		for (const teamId of this.#activeTeams) {
			const team = this.#team(teamId);
			const waiter = team.waiters[0];
			if (waiter) {
				atMs = Math.min(
					atMs,
					Math.max(waiter.sinceMs + BATCH_MS, team.pausedUntilMs),
				);
			}

			atMs = Math.min(
				atMs,
				Math.min(team.returnedSinceMs, team.expiresAtMs) + RETURN_DELAY_MS,
			);
		}

		return Math.max(atMs, this.#pausedUntilMs);
	}

	/** Creates the next message; `undefined` if there is nothing to ask for or to give back. */
	createMessage(nowMs: number): CreditMessage | undefined {
		this.#prune(nowMs);
		const sequence = ++this.#sequence;
		const requests: CreditRequest[] = [];
		for (const teamId of this.#activeTeams) {
			const team = this.#team(teamId);
			team.collectExpired(nowMs, this.#ownerEpoch);
			const request = this.#createRequest(teamId, team, {sequence, nowMs});
			if (request) {
				requests.push(request);
			}

			if (!team.isActive) {
				this.#activeTeams.delete(teamId);
			}
		}

		if (requests.length === 0) {
			return undefined;
		}

		this.#pending = {sequence, sentAtMs: nowMs};
		return {
			borrowerId: this.#borrowerId,
			sequence,
			ownerEpoch: this.#ownerEpoch,
			requests,
		};
	}

	/** Settles the requests of a message. An answer that is doubled or given up has no effect. */
	handleAnswer(
		sequence: number,
		{ownerEpoch, grants}: CreditAnswer,
		nowMs: number,
	): SettledTicket[] {
		if (this.#pending?.sequence !== sequence) {
			return [];
		}

		const loan = {ownerEpoch, askedAtMs: this.#pending.sentAtMs};
		this.#pending = undefined;
		if (ownerEpoch !== this.#ownerEpoch) {
			this.#ownerEpoch = ownerEpoch;
			for (const team of this.#teams.values()) {
				team.clearReturned();
			}
		}

		const settled = grants.flatMap((grant) =>
			this.#applyGrant(grant, {sequence, loan, nowMs}),
		);
		// Requests that the answer leaves out are asked for again.
		this.#forgetSequence(sequence);
		return settled;
	}

	/** Gives up a message without an answer; credit that it lent expires. */
	handleLoss(sequence: number, nowMs: number): void {
		if (this.#pending?.sequence === sequence) {
			this.#pending = undefined;
			this.#pausedUntilMs = nowMs + LOSS_PAUSE_MS;
			this.#forgetSequence(sequence);
		}
	}

	/** Number of granted requests that have not ended. */
	get openTickets(): number {
		return this.#tickets.size;
	}

	/** Number of requests that wait for credit. */
	get waitingRequests(): number {
		return this.#waitingTeams.size;
	}

	#team(teamId: CallerId): TeamCredit {
		let team = this.#teams.get(teamId);
		if (!team) {
			team = new TeamCredit();
			this.#teams.set(teamId, team);
		}

		return team;
	}

	/** The first turn of a program that was seen lately is a sub-agent's, or a retry. */
	#classify(
		{programHash, mayBeFirstTurn}: QuotaRequest,
		nowMs: number,
	): RequestClass {
		if (programHash === undefined) {
			return 'continuing';
		}

		if (mayBeFirstTurn && !this.#programs.has(programHash, nowMs)) {
			return 'first-turn';
		}

		this.#programs.add(programHash, nowMs);
		return 'continuing';
	}

	#createRequest(
		teamId: CallerId,
		team: TeamCredit,
		{sequence, nowMs}: {sequence: number; nowMs: number},
	): CreditRequest | undefined {
		const asking = nowMs < team.pausedUntilMs ? [] : team.waiters;
		if (asking.length === 0 && team.returnedSinceMs === Infinity) {
			return undefined;
		}

		for (const waiter of asking) {
			waiter.sequence = sequence;
		}

		const programs = asking.flatMap(({programHash}) => programHash ?? []);
		const waiting = asking.length - programs.length;
		const {returned} = team;
		team.clearReturned();
		return {
			teamId,
			waiting,
			expected: waiting > 0 ? team.expected(nowMs) : 0,
			programs,
			returned,
		};
	}

	#applyGrant(
		grant: CreditGrant,
		{sequence, loan, nowMs}: {sequence: number; loan: Loan; nowMs: number},
	): SettledTicket[] {
		const team = this.#team(grant.teamId);
		const isExpired = nowMs >= loan.askedAtMs + CREDIT_LIFETIME_MS;
		const known = new Set(grant.knownPrograms);
		const asking = team.waiters.filter(
			(waiter) => waiter.sequence === sequence,
		);
		for (const waiter of asking) {
			if (waiter.programHash !== undefined) {
				waiter.requestClass = known.has(waiter.programHash)
					? 'continuing'
					: 'first-turn';
			}
		}

		const settled: SettledTicket[] = [];
		for (const requestClass of ['continuing', 'first-turn'] as const) {
			const waiters = asking.filter(
				(waiter) => waiter.requestClass === requestClass,
			);
			let credits = grant.granted[requestClass];
			let refused = 0;
			for (const waiter of waiters) {
				if (credits === 0) {
					const decision = refuse(grant, requestClass, refused++);
					settled.push(this.#refuseWaiter(waiter, decision));
				} else if (!isExpired) {
					credits--;
					settled.push(
						this.#grantWaiter(waiter, {teamId: grant.teamId, loan, nowMs}),
					);
				}
			}

			if (refused > 0) {
				team.pausedUntilMs = nowMs + REFUSED_BATCH_MS;
			}

			if (requestClass === 'continuing' && !isExpired) {
				team.add(loan, credits);
				this.#activeTeams.add(grant.teamId);
			} else {
				this.#giveBack(grant.teamId, requestClass, {
					loan,
					count: credits,
					nowMs,
				});
			}
		}

		return settled;
	}

	#grantWaiter(
		{ticket, requestClass, programHash}: Waiter,
		{teamId, loan, nowMs}: {teamId: CallerId; loan: Loan; nowMs: number},
	): SettledTicket {
		this.#removeWaiter(ticket);
		this.#tickets.set(ticket, {teamId, requestClass, loan});
		if (programHash !== undefined) {
			this.#programs.add(programHash, nowMs);
		}

		return {ticket, decision: {type: 'granted'}};
	}

	#refuseWaiter({ticket}: Waiter, decision: QuotaDecision): SettledTicket {
		this.#removeWaiter(ticket);
		return {ticket, decision};
	}

	#giveBack(
		teamId: CallerId,
		requestClass: RequestClass,
		{loan, count, nowMs}: {loan: Loan; count: number; nowMs: number},
	): void {
		this.#team(teamId).giveBack(loan, requestClass, {
			count,
			nowMs,
			currentEpoch: this.#ownerEpoch,
		});
		this.#activeTeams.add(teamId);
	}

	#removeWaiter(ticket: number): void {
		const teamId = this.#waitingTeams.get(ticket);
		if (teamId === undefined) {
			return;
		}

		this.#waitingTeams.delete(ticket);
		const {waiters} = this.#team(teamId);
		waiters.splice(
			waiters.findIndex((waiter) => waiter.ticket === ticket),
			1,
		);
	}

	#forgetSequence(sequence: number): void {
		for (const teamId of new Set(this.#waitingTeams.values())) {
			for (const waiter of this.#team(teamId).waiters) {
				if (waiter.sequence === sequence) {
					waiter.sequence = undefined;
				}
			}
		}
	}

	#prune(nowMs: number): void {
		if (nowMs - this.#prunedAtMs < PRUNE_INTERVAL_MS) {
			return;
		}

		this.#prunedAtMs = nowMs;
		for (const [teamId, team] of this.#teams) {
			if (team.isIdle(nowMs)) {
				this.#teams.delete(teamId);
			}
		}
	}
}
