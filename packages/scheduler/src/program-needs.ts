import type {ProgramId} from '@marjoramcove/types';
import {sizeClassOf} from './concurrency-limit.ts';

/**
 * Learns per route what a program needs: turns, tool calls by service, and the time of each. The load that it
 * answers: more programs than the servers can finish, of which only whole ones count.
 */

/** Served requests of one route of turns. */
type RouteCounts = {
	service: string;
	firstTurns: number;
	turns: number;
	/** Tool calls by service. */
	toolCalls: Map<string, number>;
};

type SeenProgram = {
	routeName: string;
	/** Turns that this daemon served. */
	turns: number;
	/** Time by which the program should end, as its last turn stated it. */
	dueAtMs?: number;
};

export type ProgramNeeds = {
	routes: Map<string, RouteCounts>;
	/** Programs whose turns this daemon served, in order of their last use. */
	programs: Map<ProgramId, SeenProgram>;
	/** Average duration of calls, by service, route and size. */
	durationsMs: Map<string, number>;
	/** Average number of generated tokens, by route. */
	generatedTokens: Map<string, number>;
	/** Average time that programs have left when they call a service, by service. */
	timesLeftMs: Map<string, number>;
};

/** A call as far as its program is concerned. */
export type ProgramCall = {
	service: string;
	routeName: string;
	programId?: ProgramId;
	/** Whether the call is a turn; others with a program are its tool calls. */
	isTurn: boolean;
	isFirstTurn: boolean;
	promptTokens: number;
	/** Duration that is assumed while nothing is known of the route. */
	priorMs: number;
};

/** Expected rest of a program. */
export type RemainingNeed = {
	/** Time of the call itself. */
	callMs: number;
	/** Time to the end of the program if nothing waits, including the call. */
	programMs: number;
	/** The part of it at the service of the call. */
	serviceMs: number;
	/** Additional time that the program will wait at the present queues, without the call itself. */
	laterWaitMs: number;
};

/** Weight of a new duration; a change is followed within about ten calls. */
const DURATION_WEIGHT = 0.1;

/** Programs of a route from which its counts are used, and at which they are halved. */
const MIN_PROGRAMS = 5;
const MAX_PROGRAMS = 200;

/** Number of programs that are remembered; older ones count as having done one turn. */
const MAX_SEEN_PROGRAMS = 4096;

/**
 * Creates needs without observations.
 *
 * @example
 * ```ts
 * const needs = createProgramNeeds();
 * ```
 */
export const createProgramNeeds = (): ProgramNeeds => ({
	routes: new Map(),
	programs: new Map(),
	durationsMs: new Map(),
	generatedTokens: new Map(),
	timesLeftMs: new Map(),
});

const updateAverage = (
	averages: Map<string, number>,
	key: string,
	value: number,
): void => {
	const average = averages.get(key) ?? value;
	averages.set(key, average + DURATION_WEIGHT * (value - average));
};

const halve = (counts: RouteCounts): void => {
	counts.firstTurns /= 2;
	counts.turns /= 2;
	for (const [service, count] of counts.toolCalls) {
		counts.toolCalls.set(service, count / 2);
	}
};

const remember = (
	{programs}: ProgramNeeds,
	programId: ProgramId,
	seen: SeenProgram,
): void => {
	programs.delete(programId);
	programs.set(programId, seen);
	if (programs.size > MAX_SEEN_PROGRAMS) {
		const [oldest] = programs.keys();
		programs.delete(oldest!);
	}
};

/**
 * Notes the turn of a program that arrives, because tool calls state neither the route nor the time that the
 * program has left.
 *
 * @example
 * ```ts
 * noteTurn(needs, call, nowMs + head.programDeadlineMs);
 * ```
 */
export const noteTurn = (
	needs: ProgramNeeds,
	{programId, routeName}: Pick<ProgramCall, 'programId' | 'routeName'>,
	dueAtMs?: number,
): void => {
	if (programId !== undefined) {
		const turns = needs.programs.get(programId)?.turns ?? 0;
		remember(needs, programId, {routeName, turns, dueAtMs});
	}
};

const recordTurn = (needs: ProgramNeeds, call: ProgramCall): void => {
	const {routeName, programId, service, isFirstTurn} = call;
	const counts = needs.routes.get(routeName) ?? {
		service,
		firstTurns: 0,
		turns: 0,
		toolCalls: new Map<string, number>(),
	};
	needs.routes.set(routeName, counts);
	counts.service = service;
	counts.turns++;
	counts.firstTurns += Number(isFirstTurn);
	if (counts.firstTurns > MAX_PROGRAMS) {
		halve(counts);
	}

	const seen = needs.programs.get(programId!);
	remember(needs, programId!, {
		...seen,
		routeName,
		// A turn that is not the first follows at least one that another daemon may have served.
		turns: isFirstTurn ? 1 : Math.max(1, seen?.turns ?? 0) + 1,
	});
};

/** Counts a tool call for the route of its program, or for all routes in proportion if that is not known. */
const recordToolCall = (
	needs: ProgramNeeds,
	{programId, service}: ProgramCall,
): void => {
	const seen = needs.programs.get(programId!);
	let turns = 0;
	for (const counts of needs.routes.values()) {
		turns += counts.turns;
	}

	for (const [routeName, counts] of needs.routes) {
		const share = seen
			? Number(seen.routeName === routeName)
			: counts.turns / turns;
		const count = counts.toolCalls.get(service) ?? 0;
		counts.toolCalls.set(service, count + share);
	}
};

/**
 * Records a call that was served. Mutates and returns `needs`.
 *
 * @param observed.durationMs - time at the server, without the wait before it.
 * @example
 * ```ts
 * needs = recordServedCall(needs, call, {durationMs: 900, generatedTokens: 120});
 * ```
 */
export const recordServedCall = (
	needs: ProgramNeeds,
	call: ProgramCall,
	{durationMs, generatedTokens}: {durationMs: number; generatedTokens: number},
): ProgramNeeds => {
	const {routeName, service, promptTokens, programId, isTurn} = call;
	updateAverage(
		needs.durationsMs,
		`${routeName} ${sizeClassOf(promptTokens)}`,
		durationMs,
	);
	updateAverage(needs.durationsMs, routeName, durationMs);
	updateAverage(needs.durationsMs, `service ${service}`, durationMs);
	updateAverage(needs.generatedTokens, routeName, generatedTokens);
	if (programId !== undefined) {
		if (isTurn) {
			recordTurn(needs, call);
		} else {
			recordToolCall(needs, call);
		}
	}

	return needs;
};

/**
 * Expected duration of a call at its server.
 *
 * @example
 * ```ts
 * const callMs = expectDurationMs(needs, call);
 * ```
 */
export const expectDurationMs = (
	{durationsMs}: ProgramNeeds,
	{
		routeName,
		promptTokens,
		priorMs,
	}: Pick<ProgramCall, 'priorMs' | 'promptTokens' | 'routeName'>,
): number =>
	durationsMs.get(`${routeName} ${sizeClassOf(promptTokens)}`) ??
	durationsMs.get(routeName) ??
	priorMs;

/**
 * Time by which the program of a call should end: as its turns stated, or as those of other programs that call
 * the service, if this daemon has seen none of its turns.
 *
 * @returns `undefined` for a call without a program, and as long as nothing is known.
 * @example
 * ```ts
 * const dueAtMs = expectDueAtMs(needs, call, nowMs);
 * ```
 */
export const expectDueAtMs = (
	{programs, timesLeftMs}: ProgramNeeds,
	{programId, service}: Pick<ProgramCall, 'programId' | 'service'>,
	nowMs: number,
): number | undefined => {
	if (programId === undefined) {
		return undefined;
	}

	const dueAtMs = programs.get(programId)?.dueAtMs;
	if (dueAtMs !== undefined) {
		updateAverage(timesLeftMs, service, Math.max(0, dueAtMs - nowMs));
		return dueAtMs;
	}

	const leftMs = timesLeftMs.get(service);
	return leftMs === undefined ? undefined : nowMs + leftMs;
};

/** Route of the turns of a program; the most used one if the program has not been seen. */
const findTurnRoute = (
	{routes, programs}: ProgramNeeds,
	{routeName, programId, isTurn}: ProgramCall,
): string | undefined => {
	if (isTurn) {
		return routeName;
	}

	const seen = programs.get(programId!);
	if (seen) {
		return seen.routeName;
	}

	let mostUsed: string | undefined;
	let mostTurns = 0;
	for (const [name, {turns}] of routes) {
		if (turns > mostTurns) {
			mostTurns = turns;
			mostUsed = name;
		}
	}

	return mostUsed;
};

/** Services that the tool calls of a route's programs use. */
export const toolServicesOf = (
	{routes}: ProgramNeeds,
	routeName: string,
): string[] => [...(routes.get(routeName)?.toolCalls.keys() ?? [])];

/**
 * Expected rest of the program of a call.
 *
 * @param waitMsOf - expected wait of a call of a running program at a service.
 * @example
 * ```ts
 * const {programMs, laterWaitMs} = estimateNeed(needs, call, () => 0);
 * ```
 */
export const estimateNeed = (
	needs: ProgramNeeds,
	call: ProgramCall,
	waitMsOf: (service: string) => number,
): RemainingNeed => {
	const callMs = expectDurationMs(needs, call);
	const alone = {
		callMs,
		programMs: callMs,
		serviceMs: callMs,
		laterWaitMs: 0,
	};
	if (call.programId === undefined) {
		return alone;
	}

	const routeName = findTurnRoute(needs, call);
	const counts =
		routeName === undefined ? undefined : needs.routes.get(routeName);
	if (!counts || counts.firstTurns < MIN_PROGRAMS) {
		return alone;
	}

	const turnsPerProgram = Math.max(1, counts.turns / counts.firstTurns);
	const seenTurns = needs.programs.get(call.programId)?.turns;
	// Without knowledge, a program is on average half done.
	const doneTurns = call.isFirstTurn
		? 0
		: Math.max(1, seenTurns ?? turnsPerProgram / 2);
	const laterTurns = Math.max(
		0,
		turnsPerProgram - doneTurns - Number(call.isTurn),
	);
	const turnMs = needs.durationsMs.get(routeName!) ?? callMs;
	let programMs = callMs + laterTurns * turnMs;
	let serviceMs =
		callMs + (counts.service === call.service ? laterTurns * turnMs : 0);
	let laterWaitMs = laterTurns * waitMsOf(counts.service);
	// Tool calls come between turns, so that as many are left as turns.
	const leftShare =
		(laterTurns + Number(call.isTurn && laterTurns > 0)) / turnsPerProgram;
	for (const [service, count] of counts.toolCalls) {
		const calls = (count / counts.firstTurns) * Math.min(1, leftShare);
		const toolMs = calls * (needs.durationsMs.get(`service ${service}`) ?? 0);
		programMs += toolMs;
		serviceMs += service === call.service ? toolMs : 0;
		laterWaitMs += calls * waitMsOf(service);
	}

	return {callMs, programMs, serviceMs, laterWaitMs};
};
