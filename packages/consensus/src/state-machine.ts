/** A committed command. */
export type CommittedEntry = {index: number; command: Uint8Array};

/** Outcome of applying a command. */
export type ApplyOutcome = {
	/** Result that is returned to the proposer. */
	result: unknown;
	/** Records to append to the history stream of the group, in order. */
	appended?: readonly Uint8Array[];
};

/**
 * A replicated state machine. All replicas apply the same commands in the same order, so `apply`
 * must be deterministic: it may depend only on the state and the command.
 */
export abstract class StateMachine {
	/**
	 * First offset of the history stream that the state refers to. It must depend only on the state and
	 * never decrease. Earlier history is deleted after the next snapshot.
	 */
	historyStartOffset(): number {
		return 0;
	}

	/** Applies a command. It must not throw; a rejected command is reported in the result. */
	abstract apply(entry: CommittedEntry): ApplyOutcome;
	/** Encodes the whole state. */
	abstract takeSnapshot(): Uint8Array;
	/** Replaces the whole state. */
	abstract restoreSnapshot(bytes: Uint8Array): void;
}
