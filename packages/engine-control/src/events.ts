import type {UpstreamId} from '@marjoramcove/types';
import type {EngineState} from './engine-state.ts';
import type {ControlledEngine, ControllerState} from './state.ts';

export type ControllerEvent =
	/** This daemon leads the configuration group and was granted a fencing number. */
	| {type: 'leadership-started'; fencingNumber: number}
	/** A quorum confirmed the leadership in a round that began at this time of the local clock. */
	| {type: 'leadership-confirmed'; roundBeganAtMs: number}
	| {type: 'leadership-lost'}
	/** All engines with a desired state. */
	| {type: 'engines'; engines: ControlledEngine[]}
	| {
			type: 'state-read';
			upstreamId: UpstreamId;
			readId: number;
			report: EngineState;
	  }
	| {type: 'read-failed'; upstreamId: UpstreamId; readId: number}
	/**
	 * Answer to an order or a load. `fenced` is the refusal of an old fencing number, `rate-limited`
	 * that of the weight store.
	 */
	| {
			type: 'order-answered';
			upstreamId: UpstreamId;
			orderId: string;
			outcome: 'done' | 'failed' | 'fenced' | 'rate-limited';
	  }
	| {type: 'tick'};

/** What every order carries. */
export type FencedOrder = {
	fencingNumber: number;
	orderId: string;
	expiresAfterMs: number;
};

export type ControllerAction =
	| {type: 'read-state'; upstreamId: UpstreamId; readId: number}
	| {
			type: 'send-order';
			upstreamId: UpstreamId;
			order: FencedOrder;
			desired: EngineState;
	  }
	| {
			type: 'load-weights';
			upstreamId: UpstreamId;
			order: FencedOrder;
			weights: string;
	  }
	/** Nothing to do for the engine before this time. */
	| {
			type: 'wait';
			upstreamId: UpstreamId;
			reason: 'unfenced-engine' | 'weight-store-rate';
			untilMs: number;
	  }
	/** An engine has seen a newer leader; this one stops. */
	| {type: 'fenced-off'; upstreamId: UpstreamId; fencingNumber: number};

export type ControllerStep = {
	state: ControllerState;
	actions: ControllerAction[];
};
