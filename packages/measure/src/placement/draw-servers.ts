import type {RandomDraws} from '../random-draws.ts';

/** Kinds of server sets that are drawn at random. */
export type ServerSetKind = 'equal' | 'uneven' | 'slowing' | 'flapping';

/** A server of the play; times of faults are drawn beforehand so that all policies meet the same ones. */
export type DrawnServer = {
	zone: string;
	/** Time that its requests take, relative to the mean of the service. */
	slowness: number;
	/** Intervals in which it is slower or answers with errors. */
	faults: ReadonlyArray<{
		fromMs: number;
		toMs: number;
		kind: 'slow' | 'errors';
	}>;
};

/** Servers of one service differ by up to a factor of two. */
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 1.4;

/** Factor of a server that slows down. */
export const SLOW_FACTOR = 5;

const drawFaults = (
	draws: RandomDraws,
	kind: 'slow' | 'errors',
	endMs: number,
): DrawnServer['faults'] => {
	const faults = [];
	let fromMs = draws.exponential(4000);
	while (fromMs < endMs) {
		const durationMs = kind === 'slow' ? draws.integer(2000, 5000) : 700;
		faults.push({fromMs, toMs: fromMs + durationMs, kind});
		fromMs += durationMs + draws.exponential(kind === 'slow' ? 6000 : 2000);
	}

	return faults;
};

/**
 * Draws the servers of a play; a quarter of them slows down or flaps.
 *
 * @example
 * ```ts
 * const servers = drawServers('uneven', 12, 20_000, new RandomDraws(1));
 * ```
 */
export const drawServers = (
	kind: ServerSetKind,
	count: number,
	endMs: number,
	draws: RandomDraws,
): DrawnServer[] =>
	Array.from({length: count}, (_, index) => {
		const isFaulty = index % 4 === 0;
		const spread = MIN_SLOWNESS + (MAX_SLOWNESS - MIN_SLOWNESS) * draws.next();
		return {
			zone: index % 2 === 0 ? 'a' : 'b',
			slowness: kind === 'uneven' ? spread : 1,
			faults:
				isFaulty && kind === 'slowing'
					? drawFaults(draws, 'slow', endMs)
					: isFaulty && kind === 'flapping'
						? drawFaults(draws, 'errors', endMs)
						: [],
		};
	});

/** Factor by which a server is slower than the mean at a time. */
export const slownessAt = (
	{slowness, faults}: DrawnServer,
	nowMs: number,
): number =>
	slowness *
	(faults.some(
		({fromMs, toMs, kind}) =>
			kind === 'slow' && fromMs <= nowMs && nowMs < toMs,
	)
		? SLOW_FACTOR
		: 1);

/** Whether a server answers with errors at a time. */
export const failsAt = ({faults}: DrawnServer, nowMs: number): boolean =>
	faults.some(
		({fromMs, toMs, kind}) =>
			kind === 'errors' && fromMs <= nowMs && nowMs < toMs,
	);

/** Requests per millisecond that the servers handle in the mean of the play. */
export const meanCapacity = (
	servers: readonly DrawnServer[],
	{slots, usualMs, endMs}: {slots: number; usualMs: number; endMs: number},
): number => {
	const SAMPLES = 100;
	let sum = 0;
	for (const server of servers) {
		for (let index = 0; index < SAMPLES; index++) {
			const nowMs = (index / SAMPLES) * endMs;
			sum += failsAt(server, nowMs)
				? 0
				: slots / (usualMs * slownessAt(server, nowMs));
		}
	}

	return sum / SAMPLES;
};
