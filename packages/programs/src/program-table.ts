import type {ProgramId} from '@marjoramcove/types';
import {DueIndex} from './due-index.ts';
import {
	packProgram,
	readSharedTextIndexes,
	unpackProgram,
} from './program-row.ts';
import {SharedTexts} from './shared-texts.ts';
import {isAwaitingConfirmation, type Program} from './state.ts';

/** A program that a step may change, and the times under which it is indexed. */
type Edit = {program: Program; indexed: IndexedTimes};
type IndexedTimes = {deadlineMs?: number; isTombstone: boolean};

const getIndexedTimes = (program: Program): IndexedTimes =>
	program.endedAtMs === undefined
		? {deadlineMs: program.deadlineMs, isTombstone: false}
		: {isTombstone: !isAwaitingConfirmation(program)};

/**
 * Programs of a shard, each packed into one string, with an index of those that need work.
 *
 * A step modifies the copies that {@link ProgramTable.edit} returns, and {@link ProgramTable.commit}
 * packs them. One object per program would take about three times the memory.
 *
 * @example
 * ```ts
 * table.edit(programId)!.spentTurns++;
 * table.commit();
 * ```
 */
export class ProgramTable {
	/** Programs with an open call, and the second in which its timeout expires. */
	readonly openCalls = new Map<ProgramId, number>();
	/** Ended programs for which engines may still hold memory. */
	readonly pendingReleases = new Set<ProgramId>();
	/** Ended sub-agents whose returned budget the parent has not confirmed. */
	readonly pendingReturns = new Set<ProgramId>();
	/** Programs with a sub-agent whose budget has not been returned. */
	readonly openChildBudgets = new Set<ProgramId>();
	/** Open programs by their deadline. */
	readonly deadlines = new DueIndex();
	/** Ended programs that await no confirmation, by the time of their end. */
	readonly tombstones = new DueIndex();
	/** Caller ids and labels. */
	readonly #texts = new SharedTexts();
	readonly #rows = new Map<ProgramId, string>();
	readonly #edited = new Map<ProgramId, Edit>();

	/** Number of packed programs. */
	get size(): number {
		return this.#rows.size;
	}

	/** Texts of all programs by index, for a snapshot. */
	get sharedTexts(): Array<string | null> {
		return this.#texts.texts;
	}

	/** Programs that the current step has opened for a change or added. */
	get edited(): Iterable<ProgramId> {
		return this.#edited.keys();
	}

	/** Lists programs whose open call may have exceeded its timeout. */
	listTimeouts(nowMs: number): ProgramId[] {
		const found: ProgramId[] = [];
		for (const [programId, second] of this.openCalls) {
			if (second <= nowMs / 1000) {
				found.push(programId);
			}
		}

		return found;
	}

	keys(): Iterable<ProgramId> {
		return this.#rows.keys();
	}

	/** Packed programs, for a snapshot. */
	rows(): Iterable<[ProgramId, string]> {
		return this.#rows;
	}

	has(programId: ProgramId): boolean {
		return this.#edited.has(programId) || this.#rows.has(programId);
	}

	/** Returns a program to read; changes to it are discarded. */
	get(programId: ProgramId): Program | undefined {
		const row = this.#rows.get(programId);
		return (
			this.#edited.get(programId)?.program ??
			(row === undefined
				? undefined
				: unpackProgram(programId, row, this.#texts))
		);
	}

	/** Returns a program to change; see {@link ProgramTable.commit}. */
	edit(programId: ProgramId): Program | undefined {
		const program = this.get(programId);
		if (program && !this.#edited.has(programId)) {
			this.#edited.set(programId, {program, indexed: getIndexedTimes(program)});
		}

		return program;
	}

	add(program: Program): void {
		this.#edited.set(program.id, {program, indexed: {isTombstone: false}});
	}

	delete(programId: ProgramId): void {
		this.#edited.delete(programId);
		const row = this.#rows.get(programId);
		if (row !== undefined) {
			for (const index of readSharedTextIndexes(row)) {
				this.#texts.release(index);
			}

			this.#rows.delete(programId);
			this.#indexPendingWork(programId, undefined);
		}
	}

	/** Packs the edited programs and updates the index. */
	commit(): void {
		for (const [programId, {program, indexed}] of this.#edited) {
			const before = this.#rows.get(programId);
			const texts: [number, number] =
				before === undefined
					? [
							this.#texts.acquire(program.callerId),
							this.#texts.acquire(program.labels),
						]
					: readSharedTextIndexes(before);
			const row = packProgram(program, texts);
			if (row !== before) {
				this.#indexTimes(program, indexed);
				this.#indexPendingWork(programId, program);
				this.#rows.set(programId, row);
			}
		}

		this.#edited.clear();
	}

	/** Restores the texts of a snapshot; must be called before its programs are restored. */
	restoreTexts(texts: ReadonlyArray<string | null>): void {
		this.#texts.restore(texts);
	}

	/** Restores a packed program of a snapshot. */
	restore(programId: ProgramId, row: string): Program {
		for (const index of readSharedTextIndexes(row)) {
			this.#texts.addReference(index);
		}

		this.#rows.set(programId, row);
		const program = this.get(programId)!;
		this.#indexTimes(program, {isTombstone: false});
		this.#indexPendingWork(programId, program);
		return program;
	}

	#indexTimes(program: Program, indexed: IndexedTimes): void {
		const {deadlineMs, isTombstone} = getIndexedTimes(program);
		if (deadlineMs !== undefined && deadlineMs !== indexed.deadlineMs) {
			this.deadlines.add(program.id, deadlineMs);
		}

		if (isTombstone && !indexed.isTombstone) {
			this.tombstones.add(program.id, program.endedAtMs!);
		}
	}

	#indexPendingWork(programId: ProgramId, program: Program | undefined): void {
		const update = (set: Set<ProgramId>, isPending: boolean | undefined) => {
			if (isPending) {
				set.add(programId);
			} else {
				set.delete(programId);
			}
		};

		const isEnded = program?.endedAtMs !== undefined;
		update(this.pendingReleases, isEnded && program.holds.length > 0);
		update(this.pendingReturns, program?.returnPending);
		update(
			this.openChildBudgets,
			program?.childBudgets?.some((child) => !child.returned),
		);
		if (program?.call) {
			const {attemptAtMs, timeoutMs} = program.call;
			const second = Math.floor((attemptAtMs + timeoutMs) / 1000);
			this.openCalls.set(programId, second);
		} else {
			this.openCalls.delete(programId);
		}
	}
}
