import type {
	AdmissionCall,
	AdmissionDecision,
	FleetLoad,
	InFlightLoad,
	QueuedCall,
	RandomSource,
	RetentionDecision,
	RetentionInput,
	RoutingRequest,
} from '@marjoramcove/scheduler';
import type {FleetView} from './fleet-view.ts';

/** What a routing decision of one router may look at. */
export type RoutingContext = {
	request: RoutingRequest;
	/** Engine of the previous turn, and the tokens that it should still have. */
	cachedEngine: number | undefined;
	cachedTokens: number;
	router: number;
	view: FleetView;
	nowMs: number;
	random: RandomSource;
};

/**
 * Where calls wait: in the engine, in one dispatcher's queue per engine, or in one queue per engine and
 * router with a share of the slots.
 */
export type Queueing = 'engine' | 'dispatcher' | 'independent';

/** A scheduling policy under test. */
export abstract class Policy {
	get queueing(): Queueing {
		return 'engine';
	}

	/** Delay that the system in front of the engine adds to each call. */
	get controlDelayMs(): number {
		return 0;
	}

	/** Calls that a dispatcher keeps in flight, as a multiple of the engine's slots. */
	get slotsFactor(): number {
		return 1;
	}

	admit(
		_load: FleetLoad,
		_call: AdmissionCall,
		_nowMs: number,
	): AdmissionDecision {
		return {admitted: true};
	}

	pick(queue: readonly QueuedCall[], _nowMs: number): QueuedCall | undefined {
		return queue[0];
	}

	/** Whether a dispatcher sends its next call now. */
	hasRoom(load: InFlightLoad, _call: QueuedCall): boolean {
		return load.inFlight < load.slots;
	}

	/** Undefined leaves the cache to the engine. */
	retain(_input: RetentionInput): RetentionDecision | undefined {
		return undefined;
	}

	abstract get name(): string;

	/** Position of an engine; undefined when none takes work. */
	abstract route(context: RoutingContext): number | undefined;
}
