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

/** Input of a routing decision of one router. */
export type RoutingContext = {
	request: RoutingRequest;
	/** Engine of the previous turn, and the number of tokens that it is expected to have cached. */
	cachedEngine: number | undefined;
	cachedTokens: number;
	router: number;
	view: FleetView;
	nowMs: number;
	random: RandomSource;
};

/**
 * Where calls wait: in the engine, in one dispatcher queue per engine, or in one queue per engine and
 * router, each with a share of the slots.
 */
export type Queueing = 'engine' | 'dispatcher' | 'independent';

/** A scheduling policy under test. */
export abstract class Policy {
	get queueing(): Queueing {
		return 'engine';
	}

	/** Delay that the control plane adds to each call. */
	get controlDelayMs(): number {
		return 0;
	}

	/** Maximum calls in flight per dispatcher, as a multiple of the engine's slots. */
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

	/** Whether a dispatcher can send its next call now. */
	hasCapacity(load: InFlightLoad, _call: QueuedCall): boolean {
		return load.inFlight < load.slots;
	}

	/** Decides what to do with a cached prefix; undefined leaves it to the eviction of the engine. */
	retain(_input: RetentionInput): RetentionDecision | undefined {
		return undefined;
	}

	abstract get name(): string;

	/** Returns the index of an engine, or undefined when none accepts work. */
	abstract route(context: RoutingContext): number | undefined;
}
