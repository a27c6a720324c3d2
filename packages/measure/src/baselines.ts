import type {FleetView} from './fleet-view.ts';
import {Policy, type RoutingContext} from './policy.ts';

const acceptsWork = (view: FleetView, engine: number): boolean =>
	view.healthy[engine]! && !view.leaving[engine]!;

const findLeastInFlight = ({
	view,
	random,
}: RoutingContext): number | undefined => {
	let best: number | undefined;
	let minCalls = Number.POSITIVE_INFINITY;
	let ties = 0;
	for (let engine = 0; engine < view.count; engine++) {
		if (!acceptsWork(view, engine)) {
			continue;
		}

		const {calls} = view.estimate(engine);
		ties = calls === minCalls ? ties + 1 : 1;
		if (calls < minCalls || (calls === minCalls && random() * ties < 1)) {
			best = engine;
			minCalls = calls;
		}
	}

	return best;
};

/** Each router sends its calls to the engines in rotation. */
export class RoundRobin extends Policy {
	readonly #next = new Map<number, number>();

	override get name(): string {
		return 'round-robin';
	}

	override route({view, router}: RoutingContext): number | undefined {
		// Routers start at different engines, so that their rotations are not synchronized.
		const first = this.#next.get(router) ?? router * 3;
		for (let offset = 0; offset < view.count; offset++) {
			const engine = (first + offset) % view.count;
			if (acceptsWork(view, engine)) {
				this.#next.set(router, engine + 1);
				return engine;
			}
		}

		return undefined;
	}
}

/** Sends each call to the engine with the fewest open calls. */
export class LeastInFlight extends Policy {
	override get name(): string {
		return 'least-in-flight';
	}

	override route(context: RoutingContext): number | undefined {
		return findLeastInFlight(context);
	}
}

/** Keeps a program on its engine while that accepts work; the first call goes to the least loaded engine. */
export class SessionSticky extends Policy {
	override get name(): string {
		return 'session-sticky';
	}

	override route(context: RoutingContext): number | undefined {
		const {cachedEngine, view} = context;
		return cachedEngine !== undefined && acceptsWork(view, cachedEngine)
			? cachedEngine
			: findLeastInFlight(context);
	}
}
