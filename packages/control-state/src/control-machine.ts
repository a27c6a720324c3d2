import {
	type ApplyOutcome,
	type CommittedEntry,
	StateMachine,
} from '@marjoramcove/consensus';
import {BinaryCodec} from '@marjoramcove/transport';
import {
	type ControlCommand,
	type ControlResult,
	type ControlState,
	createControlState,
	stepControl,
} from './step-control.ts';

export type {ControlCommand, ControlResult} from './step-control.ts';

const commandCodec = new BinaryCodec('control command', 1);
const snapshotCodec = new BinaryCodec('control snapshot', 1);

/**
 * Encodes a command for the replicated log.
 *
 * @example
 * ```ts
 * await host.propose(groupId, encodeControlCommand({type: 'put-document', version: 7, bytes}));
 * ```
 */
export const encodeControlCommand = (command: ControlCommand): Uint8Array =>
	commandCodec.join([commandCodec.encode(command)]);

/** Replicated {@link ControlState}. */
export class ControlMachine extends StateMachine {
	state: ControlState = createControlState();
	readonly #onChange: (state: ControlState) => void;

	/** @param onChange - called after a command or a snapshot has changed the state. */
	constructor(onChange: (state: ControlState) => void = () => undefined) {
		super();
		this.#onChange = onChange;
	}

	override apply({command}: CommittedEntry): ApplyOutcome {
		const {state, result} = stepControl(
			this.state,
			commandCodec.decode(command)[0] as ControlCommand,
		);
		const isChanged = state !== this.state;
		this.state = state;
		if (isChanged) {
			this.#onChange(state);
		}

		return {result: result satisfies ControlResult};
	}

	override takeSnapshot(): Uint8Array {
		return snapshotCodec.join([snapshotCodec.encode(this.state)]);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		this.state = snapshotCodec.decode(bytes)[0] as ControlState;
		this.#onChange(this.state);
	}
}
