import {
	type Placement,
	type PlacementRequest,
	ServerHealth,
	type ServerLoad,
	type BaselineDurations,
	DurationAverages,
} from '@marjoramcove/balancer';

/** A way to choose servers that the play compares. */
export abstract class PlayPolicy {
	abstract get name(): string;

	/** Called once with the placement of each entry daemon. */
	prepare(_placement: Placement): void {
		// Most policies use the placement as it is.
	}

	abstract choose(
		placement: Placement,
		request: PlacementRequest,
		nowMs: number,
	): ServerLoad | undefined;
}

/** Placement by load, health and learnt speed. */
export class SpeedPolicy extends PlayPolicy {
	override get name() {
		return 'speed';
	}

	override choose(
		placement: Placement,
		request: PlacementRequest,
		nowMs: number,
	) {
		return placement.choose(request, nowMs);
	}
}

/** Placement by load and health, as before speeds were learnt. */
export class LoadPolicy extends SpeedPolicy {
	override get name() {
		return 'load';
	}

	override prepare(placement: Placement): void {
		const baseline: BaselineDurations = {
			firstChunk: new DurationAverages(),
			total: new DurationAverages(),
			chunkGap: new DurationAverages(),
		};
		for (const load of placement.servers) {
			// Without a receiver of durations, all servers count as equally fast.
			load.health = new ServerHealth(baseline);
		}
	}
}

/** The less loaded of two servers drawn at random. */
export class TwoChoicesPolicy extends LoadPolicy {
	readonly #random: () => number;

	constructor(random: () => number) {
		super();
		this.#random = random;
	}

	override get name() {
		return 'two-choices';
	}

	override choose(
		placement: Placement,
		{excludedIds}: PlacementRequest,
		nowMs: number,
	) {
		const open = placement.servers.filter(
			({server, avoidUntilMs}) =>
				!excludedIds.has(server.id) && avoidUntilMs <= nowMs,
		);
		const draw = () => open[Math.floor(this.#random() * open.length)];
		const [first, second] = [draw(), draw()];
		const loadOf = ({inFlight, othersInFlight}: ServerLoad) =>
			inFlight + othersInFlight;
		return first && second && loadOf(second) < loadOf(first) ? second : first;
	}
}
