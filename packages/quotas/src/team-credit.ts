import {CREDIT_LIFETIME_MS} from './derive-capacity.ts';
import {noRequests, type RequestClass} from './quota-messages.ts';

/**
 * Age up to which credit may be given back. Older credit would move requests from one window into a later
 * one.
 */
const MAX_RETURN_AGE_MS = 1000;

/** Time constant of the arrival rate from which the expected requests are derived. */
const ARRIVAL_TIME_MS = 1000;

/** Time without requests after which what is known of a team is dropped. */
const IDLE_MS = 10_000;

/** Where and when credit was lent. */
export type Loan = {ownerEpoch: string; askedAtMs: number};

/** A request that waits for credit. */
export type Waiter = {
	ticket: number;
	requestClass: RequestClass;
	programHash?: number;
	sinceMs: number;
	/** Message that asked for its credit and is not answered yet. */
	sequence?: number;
};

/** What an entry daemon holds and owes of the credit of one team. */
export class TeamCredit {
	readonly waiters: Waiter[] = [];
	/** Time before which no further message asks for this team. */
	pausedUntilMs = Number.NEGATIVE_INFINITY;
	returned = noRequests();
	returnedSinceMs = Infinity;
	#lots: Array<Loan & {count: number}> = [];
	#arrivalsPerSecond = 0;
	#arrivedAtMs = Number.NEGATIVE_INFINITY;

	recordArrival(nowMs: number): void {
		this.#arrivalsPerSecond = this.#arrivalRate(nowMs) + 1000 / ARRIVAL_TIME_MS;
		this.#arrivedAtMs = nowMs;
	}

	/** Continuing requests that will arrive before credit that is asked for now expires. */
	expected(nowMs: number): number {
		// The request that waits now is counted as an arrival, too.
		return Math.max(
			0,
			Math.floor((this.#arrivalRate(nowMs) * CREDIT_LIFETIME_MS) / 1000 - 1),
		);
	}

	add(loan: Loan, count: number): void {
		if (count > 0) {
			this.#lots.push({...loan, count});
		}
	}

	/** Takes a credit for a continuing request that was lent in advance. */
	take(nowMs: number, currentEpoch: string | undefined): Loan | undefined {
		this.collectExpired(nowMs, currentEpoch);
		const [lot] = this.#lots;
		if (!lot) {
			return undefined;
		}

		lot.count--;
		if (lot.count === 0) {
			this.#lots.shift();
		}

		return lot;
	}

	/** Gives credit back to its lender, unless it is too old. */
	giveBack(
		{ownerEpoch, askedAtMs}: Loan,
		requestClass: RequestClass,
		{
			count,
			nowMs,
			currentEpoch,
		}: {count: number; nowMs: number; currentEpoch: string | undefined},
	): void {
		if (
			count > 0 &&
			ownerEpoch === currentEpoch &&
			nowMs - askedAtMs <= MAX_RETURN_AGE_MS
		) {
			this.returned[requestClass] += count;
			this.returnedSinceMs = Math.min(this.returnedSinceMs, nowMs);
		}
	}

	/** Removes expired credit and prepares to give it back. */
	collectExpired(nowMs: number, currentEpoch: string | undefined): void {
		const expired = this.#lots.filter(
			({askedAtMs}) => nowMs >= askedAtMs + CREDIT_LIFETIME_MS,
		);
		if (expired.length === 0) {
			return;
		}

		this.#lots = this.#lots.filter((lot) => !expired.includes(lot));
		for (const lot of expired) {
			this.giveBack(lot, 'continuing', {
				count: lot.count,
				nowMs,
				currentEpoch,
			});
		}
	}

	/** Time at which credit expires next; infinite without credit. */
	get expiresAtMs(): number {
		return (this.#lots[0]?.askedAtMs ?? Infinity) + CREDIT_LIFETIME_MS;
	}

	clearReturned(): void {
		this.returned = noRequests();
		this.returnedSinceMs = Infinity;
	}

	/** Whether a message may be due for this team: requests wait, or it holds credit. */
	get isActive(): boolean {
		return (
			this.waiters.length > 0 ||
			this.#lots.length > 0 ||
			this.returnedSinceMs !== Infinity
		);
	}

	isIdle(nowMs: number): boolean {
		return !this.isActive && nowMs - this.#arrivedAtMs > IDLE_MS;
	}

	#arrivalRate(nowMs: number): number {
		return (
			this.#arrivalsPerSecond *
			Math.exp((this.#arrivedAtMs - nowMs) / ARRIVAL_TIME_MS)
		);
	}
}
