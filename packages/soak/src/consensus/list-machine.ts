import {StateMachine} from '@marjoramcove/consensus';

/** Operations whose history is kept; that of older ones is given up. */
const KEPT_OPERATIONS = 30;

/** First offset of the history of the kept operations. */
export const floorOf = (operations: readonly string[]): number => {
	let floor = 0;
	for (const operation of operations.slice(0, -KEPT_OPERATIONS)) {
		floor += Buffer.byteLength(operation) + 1;
	}

	return floor;
};

/** Keeps the ids of all applied operations in order and appends each to the history. */
export class ListMachine extends StateMachine {
	operations: string[] = [];
	#appliedIndex = 0;
	readonly #floorOf: (operations: readonly string[]) => number;

	constructor(findFloor = floorOf) {
		super();
		this.#floorOf = findFloor;
	}

	override historyFloor() {
		return this.#floorOf(this.operations);
	}

	override apply({index, command}: {index: number; command: Uint8Array}) {
		if (index <= this.#appliedIndex) {
			throw new Error(`entry ${index} is applied after ${this.#appliedIndex}`);
		}

		this.#appliedIndex = index;
		const operation = Buffer.from(command).toString().trimEnd();
		this.operations.push(operation);
		return {
			result: this.operations.length,
			appended: [Buffer.from(`${operation}\n`)],
		};
	}

	override takeSnapshot() {
		return Buffer.from(JSON.stringify([this.#appliedIndex, this.operations]));
	}

	override restoreSnapshot(bytes: Uint8Array) {
		const [appliedIndex, operations] = JSON.parse(
			Buffer.from(bytes).toString(),
		) as [number, string[]];
		this.#appliedIndex = appliedIndex;
		this.operations = operations;
	}
}
