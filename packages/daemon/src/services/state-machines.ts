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
import {
	createProgramsState,
	decodePrograms,
	encodeHistoryText,
	encodePrograms,
	historyFloor,
	type ProgramCommand,
	type ProgramLimits,
	type ProgramResult,
	type ProgramsState,
	stepPrograms,
} from '@marjoramcove/programs';
import {CommandClock} from '../owner/command-clock.ts';

/** Encodes a command for the replicated log. */
export const encodeCommand = (
	command: ProgramCommand | ConfigurationCommand,
): Uint8Array => Buffer.from(JSON.stringify(command));

const decodeCommand = <Command>(bytes: Uint8Array): Command =>
	JSON.parse(Buffer.from(bytes).toString('utf8')) as Command;

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

	override historyFloor(): number {
		return historyFloor(this.state);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		this.state = decodePrograms(bytes);
		Object.assign(this.state.limits, this.#limits);
		this.clock.noteApplied(this.state.clockMs);
	}
}
