import {type AffinityKey, hashText, type UpstreamId} from '@marjoramcove/types';
import {AffinityRanking} from './affinity-ranking.ts';
import {combineHashes, HASH_RANGE} from './combine-hashes.ts';
import type {PromptPart} from './prefix-cache-estimate.ts';
import type {ServerLoad} from './server-table.ts';

/** The server that ran a program's last turn and may still cache the conversation up to then. */
export type LastTurn = {
	serverId: UpstreamId;
	/** Tokens of the turn's prompt and response. */
	contextTokens: number;
};

/** Properties of a request and its state that determine the choice of a server. */
export type SelectionContext = {
	/** Zone of this daemon. */
	zone: string;
	/** Parts of the prompt, in order; absent for plain requests, which have no prompt. */
	prompt?: readonly PromptPart[];
	/** Object that a plain request concerns, on routes whose servers are faster at recent objects. */
	affinityKey?: AffinityKey;
	/** The last turn of the program. */
	last?: LastTurn;
	/** Whether this daemon has an idle connection to a server; by default it has one to each. */
	isConnected?: (load: ServerLoad) => boolean;
	/** Whether this daemon should rather use other servers of the service; by default none is. */
	isOutsideSubset?: (load: ServerLoad) => boolean;
	/** Servers that this request has already been sent to. */
	excludedIds: ReadonlySet<UpstreamId>;
	nowMs: number;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Number of daemons that send requests, which share the trials of slow servers. */
	daemonCount?: number;
};

/** Parameters of {@link estimateCostMs}. */
export type BalancerSettings = {
	/** Prefill speed of an engine in tokens per millisecond; lower values increase session affinity. */
	prefillTokensPerMs: number;
	/** Share of the prefill time by which each concurrent stream of the server is delayed. */
	prefillInterferenceShare: number;
	/** Delay that each concurrent request adds to a stream. */
	streamDelayMs: number;
	/** Queueing delay per request beyond the slots of a server, for requests with a prompt. */
	streamQueueMs: number;
	/** Delay that each concurrent request adds to a plain request. */
	plainDelayMs: number;
	/** Queueing delay per request beyond the slots of a server, for plain requests. */
	plainQueueMs: number;
	/** Cost of a server in another zone: network latency and cross-zone traffic. */
	crossZoneCostMs: number;
	/**
	 * Cost of caching a first part on one more server, which evicts other parts there, as a share of
	 * its prefill time.
	 */
	coldPartCostShare: number;
	/**
	 * Maximum affinity penalty of a server for an uncached first part, as a share of the part's prefill time.
	 * The penalty grows with the server's rendezvous rank, which is the same on all daemons, so that they
	 * cache the part on the same few servers.
	 */
	affinityCostShare: number;
	/**
	 * Cost of a server that has presumably not handled the object of a request: the time that it takes longer.
	 * A server with some more requests in progress is preferred for its objects, a full one is not.
	 */
	coldObjectCostMs: number;
	/** Cost of a new connection: its handshake, which may also occupy a slot of the server. */
	connectCostMs: number;
	/**
	 * Cost of a server to which this daemon holds no connections. Two more plain requests in progress, and less
	 * than the cost of a cold object, so that an object stays on the server that handled it.
	 */
	outsideSubsetCostMs: number;
	/** Range of the random factor that spreads the requests of daemons with the same view. */
	jitterShare: number;
};

/**
 * Defaults. With a `streamDelayMs` of 15, sessions move away from the servers that cache their prompts, and
 * the worth of the largest sites of `npm run measure -- sites` drops to 0.2.
 */
export const DEFAULT_BALANCER_SETTINGS: BalancerSettings = {
	prefillTokensPerMs: 100,
	prefillInterferenceShare: 1.3,
	streamDelayMs: 1.5,
	streamQueueMs: 12,
	plainDelayMs: 4,
	plainQueueMs: 60,
	crossZoneCostMs: 2,
	coldPartCostShare: 0.35,
	affinityCostShare: 1,
	coldObjectCostMs: 12,
	connectCostMs: 3,
	outsideSubsetCostMs: 8,
	jitterShare: 0.3,
};

const sumTokens = (parts: readonly PromptPart[]): number =>
	parts.reduce((sum, {tokens}) => sum + tokens, 0);

/** A prompt with the values that are the same for all servers. */
type PromptSummary = {
	parts: readonly PromptPart[];
	tokens: number;
	/** Hash of the id of the first part. */
	firstPartHash: number;
};

const summarizePrompt = (parts: readonly PromptPart[]): PromptSummary => ({
	parts,
	tokens: sumTokens(parts),
	firstPartHash: hashText(parts[0]?.id ?? ''),
});

/**
 * Estimates the length of the prompt's cached prefix on a server; it ends at the first part that is not
 * fully cached.
 */
const countCachedTokens = (
	{server, prefixCache}: ServerLoad,
	prompt: PromptSummary,
	{last, nowMs}: Pick<SelectionContext, 'last' | 'nowMs'>,
): number => {
	let prefixTokens = 0;
	for (const {id, tokens} of prompt.parts) {
		const cachedTokens = Math.min(tokens, prefixCache.cachedTokens(id, nowMs));
		prefixTokens += cachedTokens;
		if (cachedTokens < tokens) {
			break;
		}
	}

	const lastTokens = server.id === last?.serverId ? last.contextTokens : 0;
	return Math.max(prefixTokens, Math.min(lastTokens, prompt.tokens));
};

/**
 * Counts the tokens of a prompt that a server presumably has to read.
 *
 * @example
 * ```ts
 * const tokens = countUncachedTokens(load, prompt, {nowMs});
 * ```
 */
export const countUncachedTokens = (
	load: ServerLoad,
	parts: readonly PromptPart[],
	context: Pick<SelectionContext, 'last' | 'nowMs'>,
): number => {
	const prompt = summarizePrompt(parts);
	return prompt.tokens - countCachedTokens(load, prompt, context);
};

/** Additional cost of a server that does not cache the first part of a prompt. */
const estimateColdPartCostMs = (
	{idHash}: ServerLoad,
	{parts: [first], firstPartHash}: PromptSummary,
	settings: BalancerSettings,
): number => {
	if (!first) {
		return 0;
	}

	const {prefillTokensPerMs, coldPartCostShare, affinityCostShare} = settings;
	const prefillMs = first.tokens / prefillTokensPerMs;
	const rendezvousRank = combineHashes(firstPartHash, idHash) / HASH_RANGE;
	return prefillMs * (coldPartCostShare + affinityCostShare * rendezvousRank);
};

/**
 * Interval at which all daemons together try a slow server that gets no requests, so that a recovery is
 * noticed.
 */
const TRIAL_INTERVAL_MS = 1000;

/** Prompt tokens up to which a request is cheap enough for a trial. */
const MAX_TRIAL_TOKENS = 2000;

/** Whether a request may be sent to a server as if it had its usual speed, to measure it. */
const isTrial = (
	{inFlight, othersInFlight, server, speed}: ServerLoad,
	uncachedTokens: number,
	{daemonCount = 1, nowMs}: SelectionContext,
): boolean =>
	nowMs - speed.lastSentAtMs >= TRIAL_INTERVAL_MS * daemonCount &&
	inFlight + othersInFlight < server.slots &&
	uncachedTokens <= MAX_TRIAL_TOKENS;

/**
 * Delay on a server that differs in speed: what runs there takes longer by the factor, and the request itself
 * as well. Where servers differ, a request beyond the slots waits for its share of a request's usual time,
 * so that it is compared with the longer time on a slow server that is free.
 */
const estimateWaitMs = (
	load: ServerLoad,
	{
		factor,
		usualMs,
		delayMs,
		queueMs,
	}: {factor: number; usualMs: number; delayMs: number; queueMs: number},
): number => {
	const inFlight = load.inFlight + load.othersInFlight;
	const queued = Math.max(0, inFlight + 1 - load.server.slots);
	const waitMs =
		usualMs > 0 ? usualMs / Math.max(1, load.server.slots) : queueMs;
	return (
		factor * (inFlight * delayMs + queued * waitMs) + (factor - 1) * usualMs
	);
};

const estimatePromptCostMs = (
	load: ServerLoad,
	prompt: PromptSummary,
	context: SelectionContext,
	settings: BalancerSettings,
): number => {
	const inFlight = load.inFlight + load.othersInFlight;
	const cachedTokens = countCachedTokens(load, prompt, context);
	const uncachedTokens = prompt.tokens - cachedTokens;
	const {speed} = load;
	const isNormal = isTrial(load, uncachedTokens, context);
	const {read, event} = speed.factors(context.nowMs);
	const prefillMs =
		(uncachedTokens / settings.prefillTokensPerMs) * (isNormal ? 1 : read);
	const delayedStreams = Math.min(inFlight, load.server.slots);
	return (
		prefillMs * (1 + settings.prefillInterferenceShare * delayedStreams) +
		estimateWaitMs(load, {
			factor: isNormal ? 1 : event,
			usualMs: speed.service.isUneven(context.nowMs)
				? speed.service.usualMs('event')
				: 0,
			delayMs: settings.streamDelayMs,
			queueMs: settings.streamQueueMs,
		}) +
		(cachedTokens === 0 ? estimateColdPartCostMs(load, prompt, settings) : 0)
	);
};

const estimatePlainCostMs = (
	load: ServerLoad,
	context: SelectionContext,
	settings: BalancerSettings,
): number => {
	const {speed} = load;
	return estimateWaitMs(load, {
		factor: isTrial(load, 0, context) ? 1 : speed.factors(context.nowMs).call,
		usualMs: speed.service.isUneven(context.nowMs)
			? speed.service.usualMs('call')
			: 0,
		delayMs: settings.plainDelayMs,
		queueMs: settings.plainQueueMs,
	});
};

/**
 * Estimates the delay that sending a request to a server causes to this and other requests, in
 * milliseconds: the prefill of the uncached prompt, which also delays the server's other streams, the
 * delay from concurrent requests, the wait for a slot, the server's slowdown and the cost of another zone.
 *
 * @param prompt - summary of `context.prompt`; pass it to compute it only once for all servers.
 * @example
 * ```ts
 * const costMs = estimateCostMs(load, context, DEFAULT_BALANCER_SETTINGS);
 * ```
 */
export const estimateCostMs = (
	load: ServerLoad,
	context: SelectionContext,
	settings: BalancerSettings,
	prompt = context.prompt && summarizePrompt(context.prompt),
): number =>
	(prompt
		? estimatePromptCostMs(load, prompt, context, settings)
		: estimatePlainCostMs(load, context, settings)) +
	(load.speed.service.isUneven(context.nowMs)
		? 0
		: load.health.slowdownMs(context.nowMs)) +
	(context.isConnected?.(load) === false ? settings.connectCostMs : 0) +
	(context.isOutsideSubset?.(load) === true
		? settings.outsideSubsetCostMs
		: 0) +
	(load.server.zone === context.zone ? 0 : settings.crossZoneCostMs);

/** Servers that are drawn for a request where the servers of a service differ. */
const SAMPLE_SIZE = 2;

/** Weight in the draw of a server outside the subset, relative to one in it. */
const OUTSIDE_WEIGHT = 0.05;

const drawByWeight = (
	candidates: readonly ServerLoad[],
	weights: readonly number[],
	random: () => number,
): ServerLoad => {
	let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
	const index = weights.findIndex((weight) => {
		left -= weight;
		return left < 0;
	});
	return candidates[index] ?? candidates[0]!;
};

/**
 * Draws the servers to compare for a request, faster ones more often. For a prompt, it adds those that hold a
 * part of it and the first one of the order on which all daemons agree. Where servers differ, many daemons
 * would otherwise all find the same server best between two reports.
 */
const drawSample = (
	candidates: readonly ServerLoad[],
	context: SelectionContext,
	prompt: PromptSummary | undefined,
): readonly ServerLoad[] => {
	const weights = candidates.map((load) => {
		const {call, event} = load.speed.factors(context.nowMs);
		const isOutside = context.isOutsideSubset?.(load) === true;
		return (isOutside ? OUTSIDE_WEIGHT : 1) / (prompt ? event : call);
	});
	const sample = new Set<ServerLoad>();
	for (let count = 0; count < SAMPLE_SIZE; count++) {
		sample.add(drawByWeight(candidates, weights, context.random));
	}

	if (prompt) {
		const rankOf = ({idHash}: ServerLoad) =>
			combineHashes(prompt.firstPartHash, idHash);
		let first = candidates[0]!;
		for (const load of candidates) {
			first = rankOf(load) < rankOf(first) ? load : first;
			if (countCachedTokens(load, prompt, context) > 0) {
				sample.add(load);
			}
		}

		sample.add(first);
	}

	return [...sample];
};

/**
 * Chooses the server with the lowest cost.
 *
 * @param candidates - servers of one service that accept new requests.
 * @returns `undefined` when all candidates are excluded.
 * @example
 * ```ts
 * const load = chooseServer(table.candidates('desk', nowMs), {zone: 'a', excludedIds: new Set(), nowMs, random: Math.random});
 * ```
 */
export const chooseServer = (
	candidates: readonly ServerLoad[],
	context: SelectionContext,
	settings = DEFAULT_BALANCER_SETTINGS,
): ServerLoad | undefined => {
	const prompt = context.prompt && summarizePrompt(context.prompt);
	const ranking =
		context.affinityKey === undefined
			? undefined
			: new AffinityRanking(context.affinityKey, candidates);
	const open = candidates.filter(
		({server}) => !context.excludedIds.has(server.id),
	);
	const isSampled =
		ranking === undefined &&
		open[0]?.speed.service.isUneven(context.nowMs) === true;
	const compared = isSampled ? drawSample(open, context, prompt) : open;
	let best: {load: ServerLoad; costMs: number} | undefined;
	for (const load of compared) {
		const jitter = 1 + settings.jitterShare * (context.random() - 0.5);
		// A random value below 1 ms breaks ties between idle servers.
		const coldObjectCostMs = ranking
			? ranking.coldShare(load) * settings.coldObjectCostMs
			: 0;
		const costMs =
			(estimateCostMs(load, context, settings, prompt) + coldObjectCostMs) *
				jitter +
			context.random();
		if (!best || costMs < best.costMs) {
			best = {load, costMs};
		}
	}

	return best?.load;
};
