import type {QuotaLimit} from './quota-messages.ts';
import {QuotaPlay, teamOf} from './quota-play.fixture.ts';

/** Time between two requests of a program, in which a server answers. */
const STEP_MS = 1000;

/** Callers wait for a retry delay up to this time, then their program has failed. */
const MAX_RETRY_WAIT_MS = 3000;

/** Callers send a refused request again at most so often. */
const MAX_RETRIES = 1;

const DURATION_MS = 180_000;

export type ProgramLoad = {
	limit: QuotaLimit;
	requestsPerProgram: number;
	/** Demand as a multiple of the rate. */
	overload: number;
	entryCount: number;
	random: () => number;
	/** Whether the requests of programs are marked as first turns, otherwise all are equal. */
	knowsPrograms: boolean;
	/** Number of teams beside the one under test, each with a request per second and a quota of two. */
	smallTeams?: number;
};

/** Results of a play; programs and requests are those of the team under test. */
export type ProgramResult = {
	/** Share of the programs that the quota allows for. */
	finishedShare: number;
	failedPrograms: number;
	refusedFirstTurns: number;
	smallRequests: number;
	smallRefusals: number;
	messagesPerSecond: number;
	bytesPerSecond: number;
};

/** Plays programs of a team: sequences of requests that fail as a whole if one is refused for good. */
export const playPrograms = (load: ProgramLoad): ProgramResult => {
	const {limit, requestsPerProgram, overload, entryCount, random} = load;
	const smallTeams = load.smallTeams ?? 0;
	const limits = new Map([[teamOf(0), limit]]);
	for (let index = 1; index <= smallTeams; index++) {
		limits.set(teamOf(index), {requestsPerSecond: 2, burstRequests: 0});
	}

	const play = new QuotaPlay({
		entryCount,
		limits,
		network: {
			random,
			lossShare: 0,
			doubleShare: 0,
			maxDelayMs: 2,
			partitions: [],
		},
		terms: [{startsAtMs: 0, lastConfirmedAtMs: Infinity, frozen: []}],
	});
	const {queue} = play;
	const result = {
		finished: 0,
		failed: 0,
		refusedFirst: 0,
		small: 0,
		smallRefused: 0,
	};
	const send = (program: number, step: number, retries: number) => {
		play.take(
			Math.floor(random() * entryCount),
			{
				teamId: teamOf(0),
				programHash: load.knowsPrograms ? program : undefined,
				mayBeFirstTurn: step === 0,
			},
			(decision, entry, ticket) => {
				if (decision.type === 'granted') {
					queue.at(queue.nowMs + STEP_MS * (0.5 + random()), () => {
						play.finish(entry, ticket, true);
						if (step + 1 < requestsPerProgram) {
							send(program, step + 1, 0);
						} else {
							result.finished++;
						}
					});
				} else if (
					decision.type === 'over-quota' &&
					retries < MAX_RETRIES &&
					decision.retryAfterMs <= MAX_RETRY_WAIT_MS
				) {
					queue.at(queue.nowMs + decision.retryAfterMs + 5, () => {
						send(program, step, retries + 1);
					});
				} else if (step === 0) {
					result.refusedFirst++;
				} else {
					result.failed++;
				}
			},
		);
	};

	const programsPerSecond =
		(limit.requestsPerSecond * overload) / requestsPerProgram;
	let nextProgram = 1;
	const arrive = () => {
		send(nextProgram++, 0, 0);
		queue.at(
			queue.nowMs - (Math.log(1 - random()) * 1000) / programsPerSecond,
			arrive,
		);
	};

	const arriveSmall = (index: number) => {
		play.take(
			Math.floor(random() * entryCount),
			{teamId: teamOf(index)},
			(decision, entry, ticket) => {
				result.small++;
				result.smallRefused += decision.type === 'granted' ? 0 : 1;
				if (decision.type === 'granted') {
					play.finish(entry, ticket, true);
				}
			},
		);
		queue.at(queue.nowMs + 500 + random() * 1000, () => {
			arriveSmall(index);
		});
	};

	queue.at(0, arrive);
	for (let index = 1; index <= smallTeams; index++) {
		queue.at(3000 + random() * 1000, () => {
			arriveSmall(index);
		});
	}

	const durationMs = smallTeams > 0 ? DURATION_MS / 3 : DURATION_MS;
	queue.runUntil(durationMs);
	// Programs that begin later cannot end before the play does.
	const startingMs = durationMs - requestsPerProgram * STEP_MS;
	const allowed =
		(limit.requestsPerSecond * startingMs) / 1000 / requestsPerProgram;
	return {
		finishedShare: result.finished / allowed,
		failedPrograms: result.failed,
		refusedFirstTurns: result.refusedFirst,
		smallRequests: result.small,
		smallRefusals: result.smallRefused,
		messagesPerSecond: (play.messages * 1000) / durationMs,
		bytesPerSecond: (play.bytes * 1000) / durationMs,
	};
};
