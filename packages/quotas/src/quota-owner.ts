import type {CallerId} from '@marjoramcove/types';
import type {
	CreditAnswer,
	CreditGrant,
	CreditMessage,
	CreditRequest,
	QuotaLimit,
	QuotaTolerance,
} from './quota-messages.ts';
import {RecentPrograms} from './recent-programs.ts';
import {TeamBucket, type TeamUse} from './team-bucket.ts';

/** Time after which a silent borrower is forgotten; a link is closed long before. */
const BORROWER_RETENTION_MS = 60_000;

/** Teams that started or stopped being limited. */
export type LimitedChange = {teamId: CallerId; isLimited: boolean};

type Borrower = {sequence: number; heardAtMs: number};

const createUnlimitedGrant = ({
	teamId,
	waiting,
	expected,
	programs,
}: CreditRequest): CreditGrant => ({
	teamId,
	granted: {continuing: waiting + expected, 'first-turn': programs.length},
	knownPrograms: [],
	retryAfterMs: {},
	retryStepMs: {},
});

/**
 * Lends the credit of all teams to entry daemons during one leadership. A new leadership has a new owner,
 * whose buckets are empty.
 *
 * The load that it answers: 5,000 teams whose requests reach 400 entry daemons in turn, while messages are
 * lost, doubled or late and owners change.
 *
 * @example
 * ```ts
 * const owner = new QuotaOwner('term-7', tolerance, nowMs);
 * owner.setLimits(new Map([[teamId, {requestsPerSecond: 20, burstRequests: 40}]]), nowMs);
 * const answer = owner.answer(message, nowMs);
 * ```
 */
export class QuotaOwner {
	readonly #epoch: string;
	readonly #tolerance: QuotaTolerance;
	readonly #buckets = new Map<CallerId, TeamBucket>();
	readonly #borrowers = new Map<string, Borrower>();
	readonly #programs = new RecentPrograms();
	readonly #limitedTeams = new Set<CallerId>();
	#prunedAtMs: number;

	/** @param epoch - differs from that of every other owner, so that credit is given back to its lender only. */
	constructor(epoch: string, tolerance: QuotaTolerance, nowMs: number) {
		this.#epoch = epoch;
		this.#tolerance = tolerance;
		this.#prunedAtMs = nowMs;
	}

	/** Applies the limits of the document in force. A team that is new, or was gone, starts empty. */
	setLimits(limits: ReadonlyMap<CallerId, QuotaLimit>, nowMs: number): void {
		for (const teamId of this.#buckets.keys()) {
			if (!limits.has(teamId)) {
				this.#buckets.delete(teamId);
				this.#limitedTeams.delete(teamId);
			}
		}

		for (const [teamId, limit] of limits) {
			const bucket = this.#buckets.get(teamId);
			if (bucket) {
				bucket.changeLimit(limit, nowMs);
			} else {
				this.#buckets.set(
					teamId,
					new TeamBucket(limit, this.#tolerance, nowMs),
				);
			}
		}
	}

	/** Takes returned credit and lends new credit. A message that was overtaken or seen gets no grants. */
	answer(message: CreditMessage, nowMs: number): CreditAnswer {
		this.#pruneBorrowers(nowMs);
		const {borrowerId, sequence, ownerEpoch, requests} = message;
		const known = this.#borrowers.get(borrowerId);
		if (known && sequence <= known.sequence) {
			return {ownerEpoch: this.#epoch, grants: []};
		}

		this.#borrowers.set(borrowerId, {sequence, heardAtMs: nowMs});
		return {
			ownerEpoch: this.#epoch,
			grants: requests
				.map((request) => {
					const bucket = this.#buckets.get(request.teamId);
					if (!bucket) {
						return createUnlimitedGrant(request);
					}

					if (ownerEpoch === this.#epoch) {
						bucket.refund(request.returned, nowMs);
					}

					return this.#grant(bucket, request, nowMs);
				})
				.filter((grant) => grant !== undefined),
		};
	}

	/** Returns the teams that started or stopped being limited since the last call. */
	takeLimitedChanges(nowMs: number): LimitedChange[] {
		const changes: LimitedChange[] = [];
		for (const [teamId, bucket] of this.#buckets) {
			const isLimited = bucket.isLimited(nowMs);
			if (isLimited !== this.#limitedTeams.has(teamId)) {
				changes.push({teamId, isLimited});
				if (isLimited) {
					this.#limitedTeams.add(teamId);
				} else {
					this.#limitedTeams.delete(teamId);
				}
			}
		}

		return changes;
	}

	/** Whether a team was limited at the last call of {@link takeLimitedChanges}. */
	get hasLimitedTeams(): boolean {
		return this.#limitedTeams.size > 0;
	}

	/** Describes the teams, those with the highest demand for their rate first. */
	describe(nowMs: number): Array<TeamUse & {teamId: CallerId}> {
		const share = ({demandPerSecond, limit}: TeamUse) =>
			demandPerSecond / limit.requestsPerSecond;
		return [...this.#buckets]
			.map(([teamId, bucket]) => ({teamId, ...bucket.describe(nowMs)}))
			.sort((a, b) => share(b) - share(a));
	}

	/** @returns `undefined` if nothing was asked for. */
	#grant(
		bucket: TeamBucket,
		{teamId, waiting, expected, programs}: CreditRequest,
		nowMs: number,
	): CreditGrant | undefined {
		const knownPrograms = programs.filter((hash) =>
			this.#programs.has(hash, nowMs),
		);
		const newPrograms = programs.filter(
			(hash) => !knownPrograms.includes(hash),
		);
		if (waiting + expected + programs.length === 0) {
			return undefined;
		}

		const answer = bucket.grant(
			{
				continuing: waiting + knownPrograms.length,
				'first-turn': newPrograms.length,
			},
			expected,
			nowMs,
		);
		for (const hash of newPrograms.slice(0, answer.granted['first-turn'])) {
			this.#programs.add(hash, nowMs);
		}

		return {teamId, knownPrograms, ...answer};
	}

	#pruneBorrowers(nowMs: number): void {
		if (nowMs - this.#prunedAtMs < BORROWER_RETENTION_MS) {
			return;
		}

		this.#prunedAtMs = nowMs;
		for (const [borrowerId, {heardAtMs}] of this.#borrowers) {
			if (nowMs - heardAtMs > BORROWER_RETENTION_MS) {
				this.#borrowers.delete(borrowerId);
			}
		}
	}
}
