import type {UpstreamId} from '@marjoramcove/types';
import type {ServerLoad} from './server-table.ts';

/** A part of a prompt, in the order of the prompt. */
export type PromptPart = {
	id: string;
	tokens: number;
	/** Many programs share it, so every busy engine keeps it. */
	isCommon?: boolean;
};

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
	/** Parts of the prompt; absent for plain requests. */
	prompt?: readonly PromptPart[];
	/** Where the last turn of the program ran. */
	last?: LastTurn;
	/** Servers that this request has been sent to already. */
	excludedIds: ReadonlySet<UpstreamId>;
	/** Uniform in [0, 1). */
	random: () => number;
};

/** Figures of {@link estimateCostMs}. */
export type BalancerSettings = {
	/** Speed at which an engine reads a prompt, in tokens per millisecond. */
	prefillTokensPerMs: number;
	/** Delay that each request beside it adds to a stream. */
	streamDelayMs: number;
	/** Delay that each request beside it adds to a plain request while the server has free slots. */
	plainDelayMs: number;
	/** Delay for each request beyond the slots of a server. */
	queueDelayMs: number;
	/** Cost of leaving the zone: a longer way and traffic between zones. */
	otherZoneMs: number;
};

/**
 * Defaults. Prefill and stream delay are of the order of the two engines in docs/measurements.md
 * (170 to 227 tokens/ms; 27 ms an event alone, 1.5 to 2 ms more for each request beside it, 10 events).
 */
export const DEFAULT_BALANCER_SETTINGS: BalancerSettings = {
	prefillTokensPerMs: 200,
	streamDelayMs: 15,
	plainDelayMs: 4,
	queueDelayMs: 60,
	otherZoneMs: 8,
};

const sumTokens = (parts: readonly PromptPart[]): number =>
	parts.reduce((sum, {tokens}) => sum + tokens, 0);

/** Tokens that a server has to read: what it lacks of the first part that it does not keep, and the rest. */
const countMissingTokens = (
	{server, keptTokens}: ServerLoad,
	prompt: readonly PromptPart[],
	last: LastTurn | undefined,
): number => {
	const keptOf = ({id, tokens, isCommon}: PromptPart) =>
		isCommon ? tokens : Math.min(tokens, keptTokens(id));
	const lacking = prompt.findIndex((part) => keptOf(part) < part.tokens);
	const missingTokens =
		lacking === -1
			? 0
			: sumTokens(prompt.slice(lacking)) - keptOf(prompt[lacking]!);
	return server.id === last?.serverId
		? Math.min(
				missingTokens,
				Math.max(0, sumTokens(prompt) - last.contextTokens),
			)
		: missingTokens;
};

/**
 * Estimates what sending the request to a server costs callers, in milliseconds: the reading of what it
 * does not keep, which holds up every stream that it runs, the delay among these, the wait for a slot,
 * the way.
 *
 * @example
 * ```ts
 * const costMs = estimateCostMs(load, choice, DEFAULT_BALANCER_SETTINGS);
 * ```
 */
export const estimateCostMs = (
	load: ServerLoad,
	{zone, prompt, last}: ServerChoice,
	settings: BalancerSettings,
): number => {
	const {slots} = load.server;
	const inFlight = load.inFlight + load.othersInFlight;
	const readMs = prompt
		? countMissingTokens(load, prompt, last) / settings.prefillTokensPerMs
		: 0;
	const delayMs = prompt ? settings.streamDelayMs : settings.plainDelayMs;
	return (
		readMs * (1 + inFlight) +
		inFlight * delayMs +
		Math.max(0, inFlight + 1 - slots) * settings.queueDelayMs +
		(load.server.zone === zone ? 0 : settings.otherZoneMs)
	);
};

/**
 * Chooses the server with the least cost.
 *
 * @param candidates - servers of one service that take new requests.
 * @returns `undefined` when none is left.
 * @example
 * ```ts
 * const load = chooseServer(table.candidates('desk', nowMs), {zone: 'a', excludedIds: new Set(), random: Math.random});
 * ```
 */
export const chooseServer = (
	candidates: readonly ServerLoad[],
	choice: ServerChoice,
	settings = DEFAULT_BALANCER_SETTINGS,
): ServerLoad | undefined => {
	let best: {load: ServerLoad; costMs: number} | undefined;
	for (const load of candidates) {
		if (choice.excludedIds.has(load.server.id)) {
			continue;
		}

		// The random part breaks ties, so that daemons with the same view spread their requests.
		const costMs = estimateCostMs(load, choice, settings) + choice.random();
		if (!best || costMs < best.costMs) {
			best = {load, costMs};
		}
	}

	return best?.load;
};
