import type {ServiceCapacity} from './concurrency-limit.ts';
import type {ProgramNeeds} from './program-needs.ts';
import type {ArrivingCall, ServiceQueue} from './service-queue.ts';
import type {PolicySettings, RandomSource} from './types.ts';

/**
 * Queues, orders and admits the calls of an entry daemon at the services it sends to. The load that it
 * answers: for seconds or longer, more calls than the servers can serve, of teams and programs that compete.
 */
export type AdmissionState = {
	queues: Map<string, ServiceQueue>;
	needs: ProgramNeeds;
};

/** How an attempt ended. */
export type CallEnd = {
	/** `full`: a server refused it as full; `failed`: it was not served for another reason. */
	outcome: 'served' | 'full' | 'failed';
	/** Time from sending to the first byte. */
	firstByteMs?: number;
	generatedTokens: number;
};

/** What happened at a service; each event tells what is known of its servers. */
export type AdmissionEvent = {
	service: string;
	capacity: ServiceCapacity;
} & (
	| {type: 'arrive'; call: ArrivingCall}
	| {type: 'finish'; requestId: string; end: CallEnd}
	| {type: 'leave'; requestId: string}
	| {type: 'tick'}
);

export type AdmissionReason =
	'deadline-unreachable' | 'overloaded' | 'queue-full' | 'retry-budget';

/** Inputs of a refusal, for operators. */
export type RefusalInputs = {
	waitMs: number;
	/** Time that the call, or the program of a first turn, could wait at most. */
	maxWaitMs: number;
	needMs: number;
	waiting: number;
	inFlight: number;
	limit: number;
};

export type AdmissionAction =
	| {type: 'send'; requestId: string; waitedMs: number}
	| {
			type: 'refuse';
			requestId: string;
			reason: AdmissionReason;
			retryAfterMs: number;
			inputs: RefusalInputs;
	  };

/** Time of an event, and the random numbers for its decisions. */
export type DecisionTime = {nowMs: number; random: RandomSource};

/** Difference in service between teams that fairness tolerates: two to three calls of a model engine. */
export const FAIRNESS_SLACK_MS = 500;

/** Settings of the order while all programs can end in time. */
export const BASE_SETTINGS: PolicySettings = {
	latencyWeight: 1,
	cacheWeight: 1,
	programOrder: 'least-slack',
	tuning: {fairnessSlackMs: FAIRNESS_SLACK_MS, starvationMs: Infinity},
};
