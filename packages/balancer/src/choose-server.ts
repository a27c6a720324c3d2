import {hashText, type UpstreamId} from '@marjoramcove/types';
import type {PromptPart} from './recent-parts.ts';
import type {ServerLoad} from './server-table.ts';

/** The server of a program's last turn, which keeps what was said up to then. */
export type LastTurn = {
	serverId: UpstreamId;
	/** Tokens of its prompt and its answer. */
	contextTokens: number;
};

/** What decides between servers. */
export type ServerChoice = {
	/** Zone of this daemon. */
	zone: string;
	/** Parts of the prompt, in their order; absent for plain requests. */
	prompt?: readonly PromptPart[];
	/** Where the last turn of the program ran. */
	last?: LastTurn;
	/** Servers that this request has been sent to already. */
	excludedIds: ReadonlySet<UpstreamId>;
	nowMs: number;
	/** Uniform in [0, 1). */
	random: () => number;
};

/** Figures of {@link estimateCostMs}. */
export type BalancerSettings = {
	/** Speed at which an engine reads a prompt, in tokens per millisecond; lower values hold sessions longer. */
	prefillTokensPerMs: number;
	/** Share of the reading time by which each stream beside it is held up. */
	readingDelayShare: number;
	/** Delay that each request beside it adds to a stream. */
	streamDelayMs: number;
	/** Delay for each request beyond the slots of a server, where it has prompts to read. */
	streamQueueMs: number;
	/** Delay that each request beside it adds to a plain request while the server has free slots. */
	plainDelayMs: number;
	/** The same for a plain request. */
	plainQueueMs: number;
	/** Cost of leaving the zone: a longer way and traffic between zones. */
	otherZoneMs: number;
	/** Cost of a first part on one more server, which evicts others there, as a share of its reading. */
	newPartShare: number;
	/**
	 * Largest handicap of a server that a first part does not belong to, as a share of its reading. All
	 * daemons give a part the same order of servers, so that they read it on the same few ones.
	 */
	orderShare: number;
	/** Range of a random factor, so that daemons with the same view spread their requests. */
	noiseShare: number;
};

/**
 * Defaults, found with the site scenarios of `npm run measure -- sites`: worth is within 0.02 of its
 * best for half and twice the delays, and falls to 0.2 on the largest sites where a stream beside a
 * request is taken to cost as much as 15 ms, because sessions then leave what their servers keep.
 */
export const DEFAULT_BALANCER_SETTINGS: BalancerSettings = {
	prefillTokensPerMs: 100,
	readingDelayShare: 1.3,
	streamDelayMs: 1.5,
	streamQueueMs: 12,
	plainDelayMs: 4,
	plainQueueMs: 60,
	otherZoneMs: 2,
	newPartShare: 0.35,
	orderShare: 1,
	noiseShare: 0.3,
};

const HASH_RANGE = 2 ** 32;

/** Multiplier of a well-mixing 32-bit finaliser (MurmurHash3). */
const MIX_MULTIPLIER = 0x85_eb_ca_6b;

/** Combines two hashes; cheaper than hashing two texts for each server of each choice. */
const mixHashes = (first: number, second: number): number => {
	/* eslint-disable no-bitwise */
	let mixed = first ^ second;
	mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_MULTIPLIER);
	return (mixed ^ (mixed >>> 13)) >>> 0;
	/* eslint-enable no-bitwise */
};

const sumTokens = (parts: readonly PromptPart[]): number =>
	parts.reduce((sum, {tokens}) => sum + tokens, 0);

/** A prompt with what does not depend on the server. */
type MeasuredPrompt = {
	parts: readonly PromptPart[];
	tokens: number;
	/** Hash of the id of the first part. */
	hash: number;
};

const measurePrompt = (parts: readonly PromptPart[]): MeasuredPrompt => ({
	parts,
	tokens: sumTokens(parts),
	hash: hashText(parts[0]?.id ?? ''),
});

/** Tokens from the start of the prompt that a server keeps; nothing counts behind a part that it lacks. */
const countKeptTokens = (
	{server, parts}: ServerLoad,
	prompt: MeasuredPrompt,
	{last, nowMs}: ServerChoice,
): number => {
	let sentTokens = 0;
	for (const {id, tokens} of prompt.parts) {
		const keptTokens = Math.min(tokens, parts.keptTokens(id, nowMs));
		sentTokens += keptTokens;
		if (keptTokens < tokens) {
			break;
		}
	}

	const lastTokens = server.id === last?.serverId ? last.contextTokens : 0;
	return Math.max(sentTokens, Math.min(lastTokens, prompt.tokens));
};

/** Handicap of a server that does not keep the first part of a prompt. */
const estimateNewPartMs = (
	{idHash}: ServerLoad,
	{parts: [first], hash}: MeasuredPrompt,
	settings: BalancerSettings,
): number => {
	if (!first) {
		return 0;
	}

	const {prefillTokensPerMs, newPartShare, orderShare} = settings;
	const readMs = first.tokens / prefillTokensPerMs;
	const order = mixHashes(hash, idHash) / HASH_RANGE;
	return readMs * (newPartShare + orderShare * order);
};

const estimatePromptCostMs = (
	load: ServerLoad,
	prompt: MeasuredPrompt,
	choice: ServerChoice,
	settings: BalancerSettings,
): number => {
	const inFlight = load.inFlight + load.othersInFlight;
	const keptTokens = countKeptTokens(load, prompt, choice);
	const readMs = (prompt.tokens - keptTokens) / settings.prefillTokensPerMs;
	const heldUp = Math.min(inFlight, load.server.slots);
	return (
		readMs * (1 + settings.readingDelayShare * heldUp) +
		inFlight * settings.streamDelayMs +
		Math.max(0, inFlight + 1 - load.server.slots) * settings.streamQueueMs +
		(keptTokens === 0 ? estimateNewPartMs(load, prompt, settings) : 0)
	);
};

const estimatePlainCostMs = (
	load: ServerLoad,
	settings: BalancerSettings,
): number => {
	const inFlight = load.inFlight + load.othersInFlight;
	return (
		inFlight * settings.plainDelayMs +
		Math.max(0, inFlight + 1 - load.server.slots) * settings.plainQueueMs
	);
};

/**
 * Estimates what sending the request to a server costs callers, in milliseconds: the reading of what it
 * does not keep, which holds up every stream that it runs, the delay among these, the wait for a slot,
 * its slowness, the way.
 *
 * @param prompt - the prompt of the choice, measured once for all servers.
 * @example
 * ```ts
 * const costMs = estimateCostMs(load, choice, DEFAULT_BALANCER_SETTINGS);
 * ```
 */
export const estimateCostMs = (
	load: ServerLoad,
	choice: ServerChoice,
	settings: BalancerSettings,
	prompt = choice.prompt && measurePrompt(choice.prompt),
): number =>
	(prompt
		? estimatePromptCostMs(load, prompt, choice, settings)
		: estimatePlainCostMs(load, settings)) +
	load.health.slowdownMs(choice.nowMs) +
	(load.server.zone === choice.zone ? 0 : settings.otherZoneMs);

/**
 * Chooses the server with the least cost.
 *
 * @param candidates - servers of one service that take new requests.
 * @returns `undefined` when none is left.
 * @example
 * ```ts
 * const load = chooseServer(table.candidates('desk', nowMs), {zone: 'a', excludedIds: new Set(), nowMs, random: Math.random});
 * ```
 */
export const chooseServer = (
	candidates: readonly ServerLoad[],
	choice: ServerChoice,
	settings = DEFAULT_BALANCER_SETTINGS,
): ServerLoad | undefined => {
	const prompt = choice.prompt && measurePrompt(choice.prompt);
	let best: {load: ServerLoad; costMs: number} | undefined;
	for (const load of candidates) {
		if (choice.excludedIds.has(load.server.id)) {
			continue;
		}

		const noise = 1 + settings.noiseShare * (choice.random() - 0.5);
		// The random millisecond breaks ties between idle servers.
		const costMs =
			estimateCostMs(load, choice, settings, prompt) * noise + choice.random();
		if (!best || costMs < best.costMs) {
			best = {load, costMs};
		}
	}

	return best?.load;
};
