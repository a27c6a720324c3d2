import type {UpstreamId} from '@marjoramcove/types';
import type {
	ControllerAction,
	ControllerEvent,
	EngineState,
} from '@marjoramcove/engine-control';

type OrderAction = Extract<
	ControllerAction,
	{type: 'send-order' | 'load-weights'}
>;

/** Engine that executes the orders that a test passes to it, and may ignore fencing numbers. */
export class SimulatedEngine {
	state: EngineState = {models: [], adapters: [], version: '0', role: 'mixed'};
	/** Fencing numbers of the executed orders, in order of execution. */
	readonly executedFencingNumbers: number[] = [];
	readonly #upstreamId: UpstreamId;
	readonly #checksFencing: boolean;
	#fencingNumber = 0;

	constructor(upstreamId: UpstreamId, checksFencing: boolean) {
		this.#upstreamId = upstreamId;
		this.#checksFencing = checksFencing;
	}

	/** Executes an order unless its fencing number is too old, and returns the answer. */
	receive(action: OrderAction): ControllerEvent {
		const {fencingNumber, orderId} = action.order;
		const upstreamId = this.#upstreamId;
		if (this.#checksFencing && fencingNumber < this.#fencingNumber) {
			return {
				type: 'order-answered',
				upstreamId,
				orderId,
				outcome: 'fenced',
			};
		}

		this.#fencingNumber = Math.max(this.#fencingNumber, fencingNumber);
		this.executedFencingNumbers.push(fencingNumber);
		this.state =
			action.type === 'send-order'
				? structuredClone(action.desired)
				: {...this.state, models: [...this.state.models, action.weights]};
		return {type: 'order-answered', upstreamId, orderId, outcome: 'done'};
	}

	/** Returns the answer to a read of the engine state. */
	read(readId: number): ControllerEvent {
		return {
			type: 'state-read',
			upstreamId: this.#upstreamId,
			readId,
			report: structuredClone(this.state),
		};
	}
}
