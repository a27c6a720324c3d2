import {
	type ApplyOutcome,
	type CommittedEntry,
	StateMachine,
} from '@marjoramcove/consensus';
import {BinaryCodec} from '@marjoramcove/transport';
import {
	applyControlCommand,
	type ControlCommand,
	type ControlResult,
	type ControlState,
	createControlState,
} from './control-state.ts';

export type {ControlCommand, ControlResult} from './control-state.ts';

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

/** Replicated state machine that holds the {@link ControlState}. */
export class ControlStateMachine extends StateMachine {
	state: ControlState = createControlState();
	readonly #onChange: (state: ControlState) => void;

	/** @param onChange - called after a command or snapshot changed the state. */
	constructor(onChange: (state: ControlState) => void = () => undefined) {
		super();
		this.#onChange = onChange;
	}

	override apply({command}: CommittedEntry): ApplyOutcome {
		const {state, result} = applyControlCommand(
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
