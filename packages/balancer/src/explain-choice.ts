import {
	type BalancerSettings,
	countUncachedTokens,
	estimateCostMs,
	type SelectionContext,
} from './choose-server.ts';
import type {ServerLoad} from './server-table.ts';
import type {SpeedFactors} from './server-speed.ts';
import {SPEED_KINDS} from './service-speeds.ts';

/** Why a server would not get the request now. */
export type NotCandidateReason =
	| 'avoided-after-failures'
	| 'avoided-after-refusal'
	| 'leaving'
	| 'no-permit-of-stated-rate';

/** A server of the service with the inputs of the choice. */
export type ExplainedServer = {
	id: string;
	zone: string;
	address: string;
	/** Estimated cost without the random factor; the lowest is chosen. */
	costMs: number;
	/** Whether it would be compared now. */
	isCandidate: boolean;
	/** Reasons for which it is used only when no other server is left. */
	reasons: NotCandidateReason[];
	slots: number;
	/** Requests in progress of this daemon, and of the others by their last reports. */
	inFlight: number;
	othersInFlight: number;
	/** How it differs in speed from its service; 2 takes twice as long. */
	factors: SpeedFactors;
	/** Weight of this daemon's evidence for the factors, in requests. */
	evidence: SpeedFactors;
	/** Time since this daemon last sent it a request. */
	lastSentAgeMs: number;
	/** Tokens that it would have to read; absent without a prompt. */
	uncachedTokens?: number;
	isOutsideSubset: boolean;
};

const findReasons = (
	{avoidUntilMs, health, leaving, rateShare}: ServerLoad,
	nowMs: number,
): NotCandidateReason[] => {
	const checks: Array<[NotCandidateReason, boolean]> = [
		['leaving', !leaving.isStaying],
		['avoided-after-refusal', avoidUntilMs > nowMs],
		['avoided-after-failures', health.isAvoided(nowMs)],
		['no-permit-of-stated-rate', rateShare.nextPermitAtMs > nowMs],
	];
	return checks.flatMap(([reason, applies]) => (applies ? [reason] : []));
};

const readEvidence = ({speed}: ServerLoad, nowMs: number): SpeedFactors => {
	const evidence: SpeedFactors = {call: 0, event: 0, read: 0};
	for (const kind of SPEED_KINDS) {
		evidence[kind] = speed.read(kind, nowMs).count;
	}

	return evidence;
};

/**
 * Explains what would be chosen now, without sending or recording anything: the servers by cost, candidates
 * first.
 *
 * @param candidates - the servers that would be compared.
 * @example
 * ```ts
 * const [first] = explainChoice(loads, candidates, context, DEFAULT_BALANCER_SETTINGS);
 * ```
 */
export const explainChoice = (
	loads: readonly ServerLoad[],
	candidates: ReadonlySet<ServerLoad>,
	context: SelectionContext,
	settings: BalancerSettings,
): ExplainedServer[] => {
	const {nowMs, prompt} = context;
	return loads
		.map((load) => ({
			id: load.server.id,
			zone: load.server.zone,
			address: load.server.address,
			costMs: estimateCostMs(load, context, settings),
			isCandidate: candidates.has(load),
			reasons: findReasons(load, nowMs),
			slots: load.server.slots,
			inFlight: load.inFlight,
			othersInFlight: load.othersInFlight,
			factors: {...load.speed.factors(nowMs)},
			evidence: readEvidence(load, nowMs),
			lastSentAgeMs: nowMs - load.speed.lastSentAtMs,
			uncachedTokens: prompt && countUncachedTokens(load, prompt, context),
			isOutsideSubset: context.isOutsideSubset?.(load) === true,
		}))
		.sort(
			(a, b) =>
				Number(b.isCandidate) - Number(a.isCandidate) || a.costMs - b.costMs,
		);
};
