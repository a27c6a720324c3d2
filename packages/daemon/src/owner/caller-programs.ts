import type {
	ProgramCommand,
	ProgramResult,
	ProgramsState,
} from '@marjoramcove/programs';
import type {CallerId, ProgramId} from '@marjoramcove/types';

/** Programs of one caller and of all, for the fairness of admission. */
export type ProgramCounts = {
	callerPrograms: number;
	programs: number;
	activeCallers: number;
};

/** Open programs by caller, counted from the applied commands of all shards of this replica. */
export class CallerPrograms {
	readonly #shards = new Map<number, Map<CallerId, number>>();
	readonly #callers = new Map<CallerId, number>();
	#programs = 0;

	/** Counts without one open program of the caller, the one that asks. */
	countOthers(callerId: CallerId): ProgramCounts {
		const own = this.#callers.get(callerId) ?? 0;
		return {
			callerPrograms: Math.max(0, own - 1),
			programs: Math.max(0, this.#programs - 1),
			activeCallers: this.#callers.size - (own === 1 ? 1 : 0),
		};
	}

	/** Follows a command that the state has applied. */
	noteApplied(
		state: ProgramsState,
		command: ProgramCommand,
		result: ProgramResult,
	): void {
		if (result.outcome === 'opened' && command.type === 'open-program') {
			if (!result.repeated) {
				this.#count(state.shard, command.callerId, 1);
			}
		} else if (result.outcome === 'ended') {
			// An abandoned program was never open.
			if (!result.repeated && command.type === 'end-program') {
				this.#end(state, command.programId);
			}
		} else if (result.outcome === 'expired') {
			for (const {programId} of result.ended) {
				this.#end(state, programId);
			}
		} else if (
			result.outcome === 'refused' &&
			result.ended &&
			!result.repeated &&
			'programId' in command
		) {
			this.#end(state, command.programId);
		}
	}

	/** Counts a shard anew after a snapshot, which skips the commands that it contains. */
	recount({shard, programs}: ProgramsState): void {
		for (const [callerId, count] of this.#shards.get(shard) ?? []) {
			this.#count(shard, callerId, -count);
		}

		for (const programId of programs.keys()) {
			const program = programs.get(programId)!;
			if (program.endedReason === undefined) {
				this.#count(shard, program.callerId, 1);
			}
		}
	}

	#end({shard, programs}: ProgramsState, programId: ProgramId): void {
		this.#count(shard, programs.get(programId)!.callerId, -1);
	}

	#count(shard: number, callerId: CallerId, change: number): void {
		const counts = this.#shards.get(shard) ?? new Map<CallerId, number>();
		this.#shards.set(shard, counts);
		this.#programs += change;
		for (const map of [counts, this.#callers]) {
			const count = (map.get(callerId) ?? 0) + change;
			if (count > 0) {
				map.set(callerId, count);
			} else {
				map.delete(callerId);
			}
		}
	}
}
