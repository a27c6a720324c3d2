import type {UpstreamId} from '@marjoramcove/types';
import type {EngineState} from './engine-state.ts';
import type {ControlledEngine, ControllerState} from './state.ts';

export type ControllerEvent =
	/** This daemon leads the configuration group and was granted a fencing number. */
	| {type: 'leadership-started'; fencingNumber: number}
	/** A quorum confirmed the leadership in a round that began at this time on the local clock. */
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
	 * Answer to an order or a load. `fenced` means that the engine rejected an outdated fencing number,
	 * `rate-limited` that the weight store rejected the load.
	 */
	| {
			type: 'order-answered';
			upstreamId: UpstreamId;
			orderId: string;
			outcome: 'done' | 'failed' | 'fenced' | 'rate-limited';
	  }
	| {type: 'tick'};

/** Fields that all orders have in common. */
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
	/** No action is allowed for the engine before this time. */
	| {
			type: 'wait';
			upstreamId: UpstreamId;
			reason: 'unfenced-engine' | 'weight-store-rate';
			untilMs: number;
	  }
	/** An engine rejected an order because it knows a newer leader; this leader stops. */
	| {type: 'fenced-off'; upstreamId: UpstreamId; fencingNumber: number};

export type ControllerStep = {
	state: ControllerState;
	actions: ControllerAction[];
};
