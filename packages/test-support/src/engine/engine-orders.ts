import type {EngineOptions} from './engine-options.ts';

/** An order received by the engine. */
export type EngineOrder = {
	fencingNumber: number;
	orderId: string;
	expiresAfterMs?: number;
	type: string;
	model?: string;
	adapter?: string;
	version?: string;
	role?: string;
	/** Complete desired state, for `set-state`. */
	desired?: EngineState;
	/** Model whose weights are loaded, for `load-weights`. */
	weights?: string;
};

/** Engine state, as reported by `GET /v1/state`. */
export type EngineState = {
	models: string[];
	adapters: string[];
	version: string;
	role: string;
};

/** Executes orders; refuses outdated fencing numbers only when the engine checks them. */
export class EngineOrders {
	state: EngineState;
	fencingNumber = 0;
	/** Executed orders in sequence, for tests. */
	readonly executed: EngineOrder[] = [];
	/** Orders refused because of an outdated fencing number, for tests. */
	readonly refused: EngineOrder[] = [];
	readonly #checksFencing: boolean;
	readonly #statesByOrderId = new Map<string, EngineState>();

	constructor(options: EngineOptions) {
		this.#checksFencing = options.checksFencing && !options.executesOldOrders;
		this.state = {
			models: [...options.models],
			adapters: [...options.adapters],
			version: options.version,
			role: options.role,
		};
	}

	/** Executes an order; an order id is executed at most once. */
	execute(order: EngineOrder): {status: number; body: unknown} {
		if (this.#checksFencing && order.fencingNumber < this.fencingNumber) {
			this.refused.push(order);
			return {
				status: 409,
				body: {
					error: {
						reason: 'old-fencing-number',
						message: `Fencing number ${order.fencingNumber} is older than ${this.fencingNumber}.`,
					},
					fencingNumber: this.fencingNumber,
				},
			};
		}

		const earlierState = this.#statesByOrderId.get(order.orderId);
		if (earlierState) {
			return {status: 200, body: {repeated: true, state: earlierState}};
		}

		const nextState = applyOrder(this.state, order);
		if (!nextState) {
			return {
				status: 422,
				body: {error: {message: `Order type ${order.type} is unknown.`}},
			};
		}

		this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
		this.state = nextState;
		this.executed.push(order);
		this.#statesByOrderId.set(order.orderId, nextState);
		return {status: 200, body: {repeated: false, state: nextState}};
	}
}

const addItem = (items: string[], item: unknown): string[] => [
	...new Set([...items, String(item)]),
];
const removeItem = (items: string[], item: unknown): string[] =>
	items.filter((other) => other !== item);

const applyOrder = (
	state: EngineState,
	order: EngineOrder,
): EngineState | undefined => {
	switch (order.type) {
		case 'load-model': {
			return {...state, models: addItem(state.models, order.model)};
		}

		case 'unload-model': {
			return {...state, models: removeItem(state.models, order.model)};
		}

		case 'load-adapter': {
			return {...state, adapters: addItem(state.adapters, order.adapter)};
		}

		case 'unload-adapter': {
			return {
				...state,
				adapters: removeItem(state.adapters, order.adapter),
			};
		}

		case 'load-weights': {
			return {...state, models: addItem(state.models, order.weights)};
		}

		case 'set-state': {
			return order.desired && structuredClone(order.desired);
		}

		case 'set-version': {
			return {...state, version: String(order.version)};
		}

		case 'set-role': {
			return {...state, role: String(order.role)};
		}

		default: {
			return undefined;
		}
	}
};
