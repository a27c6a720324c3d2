import type {EngineOptions} from './engine-options.ts';

/** An order as the engine receives it. */
export type EngineOrder = {
	fencingNumber: number;
	orderId: string;
	expiresAfterMs?: number;
	type: string;
	model?: string;
	adapter?: string;
	version?: string;
	role?: string;
	/** Whole state, for `set-state`. */
	desired?: EngineState;
	/** Model whose weights are to be loaded, for `load-weights`. */
	weights?: string;
};

/** What an engine reports about itself at `GET /v1/state`. */
export type EngineState = {
	models: string[];
	adapters: string[];
	version: string;
	role: string;
};

/** Executes orders; refuses old fencing numbers only when the engine checks them. */
export class EngineOrders {
	state: EngineState;
	fencingNumber = 0;
	/** Orders that were executed, in order, for tests. */
	readonly executed: EngineOrder[] = [];
	/** Orders that were refused because of an old fencing number, for tests. */
	readonly refused: EngineOrder[] = [];
	readonly #checksFencing: boolean;
	readonly #outcomes = new Map<string, EngineState>();

	constructor(options: EngineOptions) {
		this.#checksFencing = options.checksFencing && !options.executesOldOrders;
		this.state = {
			models: [...options.models],
			adapters: [...options.adapters],
			version: options.version,
			role: options.role,
		};
	}

	/** Executes an order; a repeated order id has no second effect. */
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

		const earlier = this.#outcomes.get(order.orderId);
		if (earlier) {
			return {status: 200, body: {repeated: true, state: earlier}};
		}

		const changed = applyOrder(this.state, order);
		if (!changed) {
			return {
				status: 422,
				body: {error: {message: `Order type ${order.type} is unknown.`}},
			};
		}

		this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
		this.state = changed;
		this.executed.push(order);
		this.#outcomes.set(order.orderId, changed);
		return {status: 200, body: {repeated: false, state: changed}};
	}
}

const withItem = (items: string[], item: unknown): string[] => [
	...new Set([...items, String(item)]),
];
const withoutItem = (items: string[], item: unknown): string[] =>
	items.filter((other) => other !== item);

const applyOrder = (
	state: EngineState,
	order: EngineOrder,
): EngineState | undefined => {
	switch (order.type) {
		case 'load-model': {
			return {...state, models: withItem(state.models, order.model)};
		}

		case 'unload-model': {
			return {...state, models: withoutItem(state.models, order.model)};
		}

		case 'load-adapter': {
			return {...state, adapters: withItem(state.adapters, order.adapter)};
		}

		case 'unload-adapter': {
			return {
				...state,
				adapters: withoutItem(state.adapters, order.adapter),
			};
		}

		case 'load-weights': {
			return {...state, models: withItem(state.models, order.weights)};
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
