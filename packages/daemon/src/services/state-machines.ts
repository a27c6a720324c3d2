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
	CommandClock,
	type CommittedEntry,
	StateMachine,
} from '@marjoramcove/consensus';
import {
	createProgramsState,
	decodePrograms,
	encodeHistoryText,
	encodePrograms,
	findHistoryStartOffset,
	type ProgramCommand,
	type ProgramLimits,
	type ProgramResult,
	type ProgramsState,
	stepPrograms,
} from '@marjoramcove/programs';
import type {UpstreamId} from '@marjoramcove/types';
import {engineOfHold} from '../owner/copy-holder.ts';

/** Encodes a command for the replicated log. */
export const encodeCommand = (
	command: ProgramCommand | ConfigurationCommand,
): Uint8Array => Buffer.from(JSON.stringify(command));

const decodeCommand = <Command>(bytes: Uint8Array): Command =>
	JSON.parse(Buffer.from(bytes).toString('utf8')) as Command;

/** State machine of the replicated configuration. */
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

/** Receives the changes to the programs of a shard on this replica. */
export type ProgramsListener = {
	/** @param previousEngine - engine of the program's last model call before an accepted or retried one. */
	onApplied: (
		command: ProgramCommand,
		result: ProgramResult,
		previousEngine: UpstreamId | undefined,
	) => void;
	/** Called after the state was replaced by a snapshot. */
	onRestored: () => void;
};

/** Returns the engine of the newest memory hold of a program, before the command renews a hold. */
const findPreviousEngine = (
	state: ProgramsState,
	command: ProgramCommand,
): UpstreamId | undefined => {
	if (command.type !== 'accept-call' && command.type !== 'retry-call') {
		return undefined;
	}

	let newest: {upstreamId: UpstreamId; turn: number} | undefined;
	for (const hold of state.programs.get(command.programId)?.holds ?? []) {
		newest = newest && newest.turn > hold.turn ? newest : hold;
	}

	return newest && engineOfHold(newest.upstreamId);
};

/** State machine of the replicated programs of one shard. */
export class ProgramsMachine extends StateMachine {
	state: ProgramsState;
	readonly clock = new CommandClock();
	readonly #limits: Partial<ProgramLimits>;
	readonly #listener: ProgramsListener;

	constructor(
		shard: number,
		limits: Partial<ProgramLimits>,
		listener: ProgramsListener,
	) {
		super();
		this.#limits = limits;
		this.#listener = listener;
		this.state = createProgramsState(shard, limits);
	}

	override apply({command: bytes}: CommittedEntry): ApplyOutcome {
		const command = decodeCommand<ProgramCommand>(bytes);
		const previousEngine = findPreviousEngine(this.state, command);
		const {state, result, appended} = stepPrograms(this.state, command);
		this.state = state;
		this.clock.advanceTo(state.clockMs);
		this.#listener.onApplied(command, result, previousEngine);
		return {result, appended: appended.map((text) => encodeHistoryText(text))};
	}

	override takeSnapshot(): Uint8Array {
		return encodePrograms(this.state);
	}

	override historyStartOffset(): number {
		return findHistoryStartOffset(this.state);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		this.state = decodePrograms(bytes);
		Object.assign(this.state.limits, this.#limits);
		this.clock.advanceTo(this.state.clockMs);
		this.#listener.onRestored();
	}
}
