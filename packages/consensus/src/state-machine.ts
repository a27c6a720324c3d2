/** A committed command. */
export type CommittedEntry = {index: number; command: Uint8Array};

/** What a command caused. */
export type ApplyOutcome = {
	/** Result for the proposer. */
	result: unknown;
	/** Bytes for the history stream of the group, in order. */
	appended?: readonly Uint8Array[];
};

/**
 * A replicated state machine. All replicas apply the same commands in the same order, so `apply`
 * must depend on nothing but the state and the command.
 */
export abstract class StateMachine {
	/**
	 * First offset of the history stream that the state refers to. It depends on the state alone and
	 * never goes back; what is before it is deleted after the next snapshot.
	 */
	historyFloor(): number {
		return 0;
	}

	/** Applies a command. It must not throw: a refusal is a result like any other. */
	abstract apply(entry: CommittedEntry): ApplyOutcome;
	/** Encodes the whole state. */
	abstract takeSnapshot(): Uint8Array;
	/** Replaces the whole state. */
	abstract restoreSnapshot(bytes: Uint8Array): void;
}
