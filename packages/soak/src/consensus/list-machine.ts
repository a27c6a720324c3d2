import {StateMachine} from '@marjoramcove/consensus';

/** Keeps the ids of all applied operations in order and appends each to the history. */
export class ListMachine extends StateMachine {
	operations: string[] = [];
	#appliedIndex = 0;

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
