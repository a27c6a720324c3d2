import {deriveCapacity} from './derive-capacity.ts';
import {ProgramSize} from './program-size.ts';
import {
	type CreditGrant,
	noRequests,
	type QuotaLimit,
	type QuotaTolerance,
	type RequestClass,
	type RequestCounts,
} from './quota-messages.ts';

/** Share of the capacity that first turns leave to programs under way while a team is limited. */
const RESERVE_SHARE = 0.25;

/** A team can be limited only while its bucket holds less than this share of its capacity. */
const LIMITED_LEVEL_SHARE = 0.5;

/** Number of requests at the rate from which the demand is measured; fewer make a steady team seem over it. */
const DEMAND_REQUESTS = 20;

/**
 * Time for which a team counts as limited after it last was. After 3 s instead, 310 instead of 77
 * programs of a team with 200 requests per second at twice its quota failed half-way in three minutes.
 */
const LIMITED_HOLD_MS = 10_000;

/** Least time constant of the measured demand. */
const MIN_DEMAND_TIME_MS = 3000;

/** Callers do not come back after a longer retry delay, so such refusals do not delay later ones. */
const MAX_RETRY_HORIZON_MS = 10_000;

/** State of a team that operators see. */
export type TeamUse = {
	limit: QuotaLimit;
	/** Credits that could be granted at once. */
	availableRequests: number;
	/** Requests asked for per second, including refused ones. */
	demandPerSecond: number;
	/** Learnt number of requests per program. */
	requestsPerProgram: number;
	isLimited: boolean;
	/** Since this owner started. */
	grantedRequests: number;
	returnedRequests: number;
	refusedRequests: number;
};

/** What the waiting and expected requests of a team get. */
export type BucketAnswer = Pick<
	CreditGrant,
	'granted' | 'retryAfterMs' | 'retryStepMs'
>;

/**
 * Token bucket of a team, with a second one for the first turns of programs that matters only while the
 * team asks for more than its rate.
 *
 * The load that it answers: a team that sends more than its quota for minutes, whose programs would all be
 * cut off half-way if its requests were refused first come, first served.
 */
export class TeamBucket {
	readonly #tolerance: QuotaTolerance;
	readonly #programSize = new ProgramSize();
	#limit: QuotaLimit;
	#capacity: number;
	#level = 0;
	#firstTurnLevel = 0;
	#refundable = 0;
	#updatedAtMs: number;
	#demandPerSecond = 0;
	#limitedUntilMs = Number.NEGATIVE_INFINITY;
	readonly #retryAtMs: RequestCounts = noRequests();
	readonly #totals = {granted: 0, returned: 0, refused: 0};

	/** Starts empty: credit accrues from `sinceMs` on. */
	constructor(limit: QuotaLimit, tolerance: QuotaTolerance, sinceMs: number) {
		this.#tolerance = tolerance;
		this.#limit = limit;
		this.#capacity = deriveCapacity(limit, tolerance);
		this.#updatedAtMs = sinceMs;
	}

	/** Applies a changed limit; credit that the new limit does not allow is dropped. */
	changeLimit(limit: QuotaLimit, nowMs: number): void {
		this.#accrue(nowMs);
		this.#limit = limit;
		this.#capacity = deriveCapacity(limit, this.#tolerance);
		this.#clampLevels();
	}

	get limit(): QuotaLimit {
		return this.#limit;
	}

	isLimited(nowMs: number): boolean {
		return nowMs < this.#limitedUntilMs;
	}

	/** Takes back credit that was not used. */
	refund(returned: RequestCounts, nowMs: number): void {
		this.#accrue(nowMs);
		const all = returned['first-turn'] + returned.continuing;
		const count = Math.min(all, this.#refundable);
		this.#level += count;
		this.#refundable -= count;
		this.#totals.returned += count;
		const firstTurns = Math.min(returned['first-turn'], count);
		this.#firstTurnLevel += firstTurns;
		this.#recordDemand(-all);
		this.#programSize.record(-all, -returned['first-turn']);
		this.#clampLevels();
	}

	/** Grants credit to continuing requests, then to first turns, then to requests that are only expected. */
	grant(waiting: RequestCounts, expected: number, nowMs: number): BucketAnswer {
		this.#accrue(nowMs);
		this.#recordDemand(waiting.continuing + waiting['first-turn']);
		const continuing = this.#spend(waiting.continuing, this.#level);
		this.#updateLimited(nowMs);
		const firstTurns = this.#grantFirstTurns(waiting['first-turn'], nowMs);
		const ahead = this.#spend(
			expected,
			this.#level - this.#capacity * LIMITED_LEVEL_SHARE,
		);
		this.#recordDemand(ahead);
		this.#updateLimited(nowMs);
		const granted = {
			continuing: continuing + ahead,
			'first-turn': firstTurns,
		};
		this.#totals.granted += continuing + ahead + firstTurns;
		this.#programSize.record(continuing + ahead + firstTurns, firstTurns);
		return {
			granted,
			...this.#scheduleRetries(
				{
					continuing: waiting.continuing - continuing,
					'first-turn': waiting['first-turn'] - firstTurns,
				},
				nowMs,
			),
		};
	}

	describe(nowMs: number): TeamUse {
		this.#accrue(nowMs);
		return {
			limit: this.#limit,
			availableRequests: Math.floor(this.#level),
			demandPerSecond: this.#demandPerSecond,
			requestsPerProgram: this.#programSize.requestsPerProgram,
			isLimited: this.isLimited(nowMs),
			grantedRequests: this.#totals.granted,
			returnedRequests: this.#totals.returned,
			refusedRequests: this.#totals.refused,
		};
	}

	#recordDemand(requests: number): void {
		this.#demandPerSecond = Math.max(
			0,
			this.#demandPerSecond + (requests * 1000) / this.#demandTimeMs,
		);
	}

	#accrue(nowMs: number): void {
		const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
		this.#updatedAtMs += elapsedMs;
		const credits = (this.#limit.requestsPerSecond * elapsedMs) / 1000;
		this.#programSize.age(elapsedMs);
		this.#demandPerSecond *= Math.exp(-elapsedMs / this.#demandTimeMs);
		this.#level += credits;
		this.#firstTurnLevel += credits / this.#programSize.requestsPerProgram;
		this.#clampLevels();
	}

	/** Credit in use is worth no more than the bucket could hold, had it never been lent. */
	#clampLevels(): void {
		this.#level = Math.min(this.#level, this.#capacity);
		this.#refundable = Math.min(this.#refundable, this.#capacity - this.#level);
		this.#firstTurnLevel = Math.min(
			this.#firstTurnLevel,
			Math.max(1, this.#capacity / this.#programSize.requestsPerProgram),
		);
	}

	#spend(wanted: number, available: number): number {
		const count = Math.max(0, Math.min(wanted, Math.floor(available)));
		this.#level -= count;
		this.#refundable += count;
		return count;
	}

	#grantFirstTurns(wanted: number, nowMs: number): number {
		const count = this.#spend(
			wanted,
			this.isLimited(nowMs)
				? Math.min(this.#firstTurnLevel, this.#level - this.#reserve)
				: this.#level,
		);
		this.#firstTurnLevel = Math.max(0, this.#firstTurnLevel - count);
		return count;
	}

	get #demandTimeMs(): number {
		return Math.max(
			MIN_DEMAND_TIME_MS,
			(DEMAND_REQUESTS * 1000) / this.#limit.requestsPerSecond,
		);
	}

	get #reserve(): number {
		// A bucket of one credit has no room for a reserve; first turns would never pass.
		return Math.min(
			this.#capacity * RESERVE_SHARE,
			Math.max(0, this.#capacity - 1),
		);
	}

	#updateLimited(nowMs: number): void {
		if (
			this.#level < this.#capacity * LIMITED_LEVEL_SHARE &&
			this.#demandPerSecond >= this.#limit.requestsPerSecond
		) {
			this.#limitedUntilMs = nowMs + LIMITED_HOLD_MS;
		}
	}

	/** Gives each refused request a place behind those that were refused before it. */
	#scheduleRetries(
		refused: RequestCounts,
		nowMs: number,
	): Pick<CreditGrant, 'retryAfterMs' | 'retryStepMs'> {
		const retryAfterMs: Partial<RequestCounts> = {};
		const retryStepMs: Partial<RequestCounts> = {};
		for (const requestClass of ['continuing', 'first-turn'] as const) {
			const count = refused[requestClass];
			if (count > 0) {
				this.#totals.refused += count;
				const stepMs = this.#intervalMs(requestClass, nowMs);
				const atMs = Math.max(
					this.#retryAtMs[requestClass],
					nowMs + this.#shortageMs(requestClass, nowMs),
				);
				retryAfterMs[requestClass] = atMs - nowMs;
				retryStepMs[requestClass] = stepMs;
				this.#retryAtMs[requestClass] = Math.min(
					atMs + count * stepMs,
					nowMs + MAX_RETRY_HORIZON_MS,
				);
			}
		}

		return {retryAfterMs, retryStepMs};
	}

	#intervalMs(requestClass: RequestClass, nowMs: number): number {
		const intervalMs = 1000 / this.#limit.requestsPerSecond;
		return requestClass === 'first-turn' && this.isLimited(nowMs)
			? intervalMs * this.#programSize.requestsPerProgram
			: intervalMs;
	}

	/** Time until the bucket holds a credit for a request of this class. */
	#shortageMs(requestClass: RequestClass, nowMs: number): number {
		const {requestsPerSecond} = this.#limit;
		const isReserved = requestClass === 'first-turn' && this.isLimited(nowMs);
		const missing = 1 + (isReserved ? this.#reserve : 0) - this.#level;
		const missingFirstTurns = isReserved
			? (1 - this.#firstTurnLevel) * this.#programSize.requestsPerProgram
			: 0;
		return (Math.max(0, missing, missingFirstTurns) * 1000) / requestsPerSecond;
	}
}
