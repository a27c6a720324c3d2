import {
	type ApplyOutcome,
	type CommittedEntry,
	StateMachine,
} from '@marjoramcove/consensus';
import {BinaryCodec} from '@marjoramcove/transport';
import type {ProgramId, RequestId} from '@marjoramcove/types';
import {stepTurns} from './step-turns.ts';
import {
	createTurnsState,
	type LastTurn,
	type ProgramBudget,
	type TurnCommand,
	type TurnRecord,
	type TurnsState,
} from './turns-state.ts';

const commandCodec = new BinaryCodec('turn command', 1);
const snapshotCodec = new BinaryCodec('turn snapshot', 1);

/** Serialized form of the state, with sets and maps as arrays. */
type Snapshot = {
	clockMs: number;
	historyBytes: number;
	programs: Array<
		[
			ProgramId,
			spentTokens: number,
			reserved: Array<[RequestId, number]>,
			settled: RequestId[],
			expiresAtMs: number,
			last?: LastTurn,
		]
	>;
	turns: Array<[RequestId, TurnRecord]>;
};

/**
 * Encodes a command for the replicated log.
 *
 * @example
 * ```ts
 * await host.propose(groupId, encodeTurnCommand({type: 'expire', nowMs}));
 * ```
 */
export const encodeTurnCommand = (command: TurnCommand): Uint8Array =>
	commandCodec.join([commandCodec.encode(command)]);

const packProgram = (
	id: ProgramId,
	program: ProgramBudget,
): Snapshot['programs'][number] => [
	id,
	program.spentTokens,
	[...program.reservedTokens],
	[...program.settled],
	program.expiresAtMs,
	program.last,
];

const unpackProgram = ([
	id,
	spentTokens,
	reserved,
	settled,
	expiresAtMs,
	last,
]: Snapshot['programs'][number]): [ProgramId, ProgramBudget] => [
	id,
	{
		spentTokens,
		reservedTokens: new Map(reserved),
		settled: new Set(settled),
		last,
		expiresAtMs,
	},
];

/** Replicated state machine over {@link TurnsState}. The texts of turns are in the history stream of the group. */
export class TurnsMachine extends StateMachine {
	state: TurnsState = createTurnsState();
	readonly #onApplied: (clockMs: number) => void;

	/** @param onApplied - called with the replicated time after each command and each restored snapshot. */
	constructor(onApplied: (clockMs: number) => void = () => undefined) {
		super();
		this.#onApplied = onApplied;
	}

	override apply({command}: CommittedEntry): ApplyOutcome {
		const decoded = commandCodec.decode(command)[0] as TurnCommand;
		const outcome = stepTurns(this.state, decoded);
		this.#onApplied(this.state.clockMs);
		return outcome;
	}

	override historyStartOffset(): number {
		// Turns are ordered by offset.
		const [first] = this.state.turns.values();
		return first?.offset ?? this.state.historyBytes;
	}

	override takeSnapshot(): Uint8Array {
		const {clockMs, historyBytes, programs, turns} = this.state;
		const snapshot: Snapshot = {
			clockMs,
			historyBytes,
			programs: [...programs].map(([id, program]) => packProgram(id, program)),
			turns: [...turns],
		};
		return snapshotCodec.join([snapshotCodec.encode(snapshot)]);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		const snapshot = snapshotCodec.decode(bytes)[0] as Snapshot;
		this.state = {
			clockMs: snapshot.clockMs,
			historyBytes: snapshot.historyBytes,
			programs: new Map(
				snapshot.programs.map((program) => unpackProgram(program)),
			),
			turns: new Map(snapshot.turns),
		};
		this.#onApplied(snapshot.clockMs);
	}
}
