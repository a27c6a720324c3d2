import type {
	ProgramCommand,
	ProgramResult,
	ProgramsState,
} from '@marjoramcove/programs';
import type {CallerId, ProgramId} from '@marjoramcove/types';

/** Open programs of one caller and of all callers, for fair admission. */
export type ProgramCounts = {
	callerPrograms: number;
	programs: number;
	activeCallers: number;
};

/** Counts open programs by caller from the applied commands of all shards of this replica. */
export class CallerPrograms {
	readonly #countsByShard = new Map<number, Map<CallerId, number>>();
	readonly #countsByCaller = new Map<CallerId, number>();
	#programCount = 0;

	/** Counts without the program whose call is being admitted, which is an open one of the caller. */
	countOthers(callerId: CallerId): ProgramCounts {
		const callerCount = this.#countsByCaller.get(callerId) ?? 0;
		return {
			callerPrograms: Math.max(0, callerCount - 1),
			programs: Math.max(0, this.#programCount - 1),
			activeCallers: this.#countsByCaller.size - (callerCount === 1 ? 1 : 0),
		};
	}

	/** Updates the counts for an applied command. */
	recordApplied(
		state: ProgramsState,
		command: ProgramCommand,
		result: ProgramResult,
	): void {
		if (result.outcome === 'opened' && command.type === 'open-program') {
			if (!result.repeated) {
				this.#addToCount(state.shard, command.callerId, 1);
			}
		} else if (result.outcome === 'ended') {
			// `abandon-program` ends a program that was never open.
			if (!result.repeated && command.type === 'end-program') {
				this.#removeProgram(state, command.programId);
			}
		} else if (result.outcome === 'expired') {
			for (const {programId} of result.ended) {
				this.#removeProgram(state, programId);
			}
		} else if (
			result.outcome === 'refused' &&
			result.ended &&
			!result.repeated &&
			'programId' in command
		) {
			this.#removeProgram(state, command.programId);
		}
	}

	/** Recounts a shard after a snapshot, whose commands are not applied one by one. */
	recount({shard, programs}: ProgramsState): void {
		for (const [callerId, count] of this.#countsByShard.get(shard) ?? []) {
			this.#addToCount(shard, callerId, -count);
		}

		for (const programId of programs.keys()) {
			const program = programs.get(programId)!;
			if (program.endedReason === undefined) {
				this.#addToCount(shard, program.callerId, 1);
			}
		}
	}

	#removeProgram({shard, programs}: ProgramsState, programId: ProgramId): void {
		this.#addToCount(shard, programs.get(programId)!.callerId, -1);
	}

	#addToCount(shard: number, callerId: CallerId, change: number): void {
		const counts =
			this.#countsByShard.get(shard) ?? new Map<CallerId, number>();
		this.#countsByShard.set(shard, counts);
		this.#programCount += change;
		for (const map of [counts, this.#countsByCaller]) {
			const count = (map.get(callerId) ?? 0) + change;
			if (count > 0) {
				map.set(callerId, count);
			} else {
				map.delete(callerId);
			}
		}
	}
}
