import {StateMachine} from '@marjoramcove/consensus';

/** Number of operations whose history is retained; the history of older ones may be deleted. */
const RETAINED_OPERATIONS = 30;

/** Returns the first history offset of the retained operations. */
export const findHistoryStartOffset = (
	operations: readonly string[],
): number => {
	let startOffset = 0;
	for (const operation of operations.slice(0, -RETAINED_OPERATIONS)) {
		startOffset += Buffer.byteLength(operation) + 1;
	}

	return startOffset;
};

/**
 * State machine that lists the ids of all applied operations in order and appends each to the
 * history.
 */
export class ListMachine extends StateMachine {
	operations: string[] = [];
	#appliedIndex = 0;
	readonly #findHistoryStart: (operations: readonly string[]) => number;

	constructor(findHistoryStart = findHistoryStartOffset) {
		super();
		this.#findHistoryStart = findHistoryStart;
	}

	override historyStartOffset() {
		return this.#findHistoryStart(this.operations);
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
