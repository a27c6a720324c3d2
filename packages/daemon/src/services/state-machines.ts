import {
	type ConfigurationCommand,
	type ConfigurationState,
	createConfigurationState,
	decodeConfiguration,
	encodeConfiguration,
	stepConfiguration,
} from '@marjoramcove/configuration';
import {
	type ApplyOutcome,
	type CommittedEntry,
	StateMachine,
} from '@marjoramcove/consensus';
import {ValidationError} from '@marjoramcove/errors';
import {
	createProgramsState,
	decodePrograms,
	encodeHistoryText,
	encodePrograms,
	type ProgramCommand,
	type ProgramLimits,
	type ProgramResult,
	type ProgramsState,
	stepPrograms,
} from '@marjoramcove/programs';
import {BinaryCodec} from '@marjoramcove/transport';
import {CommandClock} from '../owner/command-clock.ts';

const commandCodec = new BinaryCodec('command of the replicated log', 1);

/** Encodes a command for the replicated log: a format byte and MessagePack. */
export const encodeCommand = (
	command: ProgramCommand | ConfigurationCommand,
): Uint8Array => commandCodec.join([commandCodec.encode(command)]);

/**
 * Decodes a command of the replicated log.
 *
 * @throws ValidationError when it is damaged or was written in another format.
 */
export const decodeCommand = <
	Command extends ProgramCommand | ConfigurationCommand,
>(
	bytes: Uint8Array,
): Command => {
	const [command, ...rest] = commandCodec.decode(bytes);
	if (command === undefined || rest.length > 0) {
		throw new ValidationError(
			'A command of the replicated log is damaged: it is not one value.',
			'Run the same version on all daemons.',
		);
	}

	return command as Command;
};

/** Replicated configuration. */
export class ConfigurationMachine extends StateMachine {
	state: ConfigurationState = createConfigurationState();

	override apply({command}: CommittedEntry): ApplyOutcome {
		const {state, result} = stepConfiguration(
			this.state,
			decodeCommand<ConfigurationCommand>(command),
		);
		this.state = state;
		return {result};
	}

	override takeSnapshot(): Uint8Array {
		return encodeConfiguration(this.state);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		this.state = decodeConfiguration(bytes);
	}
}

/** Replicated programs of one shard. */
export class ProgramsMachine extends StateMachine {
	state: ProgramsState;
	readonly clock = new CommandClock();
	readonly #limits: Partial<ProgramLimits>;
	readonly #onApplied: (command: ProgramCommand, result: ProgramResult) => void;

	constructor(
		shard: number,
		limits: Partial<ProgramLimits>,
		onApplied: (command: ProgramCommand, result: ProgramResult) => void,
	) {
		super();
		this.#limits = limits;
		this.#onApplied = onApplied;
		this.state = createProgramsState(shard, limits);
	}

	override apply({command: bytes}: CommittedEntry): ApplyOutcome {
		const command = decodeCommand<ProgramCommand>(bytes);
		const {state, result, appended} = stepPrograms(this.state, command);
		this.state = state;
		this.clock.noteApplied(state.clockMs);
		this.#onApplied(command, result);
		return {result, appended: appended.map((text) => encodeHistoryText(text))};
	}

	override takeSnapshot(): Uint8Array {
		return encodePrograms(this.state);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		this.state = decodePrograms(bytes);
		Object.assign(this.state.limits, this.#limits);
		this.clock.noteApplied(this.state.clockMs);
	}
}
