import type {ProgramId} from '@marjoramcove/types';
import {DueIndex} from './due-index.ts';
import {packProgram, sharedTextsOf, unpackProgram} from './program-row.ts';
import {SharedTexts} from './shared-texts.ts';
import {isHolding, type Program} from './state.ts';

/** A program that a step may change, and what the index holds for it. */
type Edit = {program: Program; indexed: IndexedTimes};
type IndexedTimes = {deadlineMs?: number; isTombstone: boolean};

const timesOf = (program: Program): IndexedTimes =>
	program.endedAtMs === undefined
		? {deadlineMs: program.deadlineMs, isTombstone: false}
		: {isTombstone: !isHolding(program)};

/**
 * The programs of a shard, each packed into one string, and an index of those that need work.
 *
 * A step changes the copies that {@link ProgramTable.edit} returns; {@link ProgramTable.commit}
 * packs them. An object per program would take about three times the memory.
 *
 * @example
 * ```ts
 * table.edit(programId)!.spentTurns++;
 * table.commit();
 * ```
 */
export class ProgramTable {
	/** Programs with an open call, and the second in which its timeout ends. */
	readonly openCalls = new Map<ProgramId, number>();
	/** Ended programs that engines may hold memory for. */
	readonly releasing = new Set<ProgramId>();
	/** Ended sub-agents whose parent has not confirmed the returned budget. */
	readonly returning = new Set<ProgramId>();
	/** Programs with a carved-out budget that has not come back. */
	readonly carving = new Set<ProgramId>();
	/** Open programs by their deadline. */
	readonly deadlines = new DueIndex();
	/** Ended programs that hold nothing, by the time of their end. */
	readonly tombstones = new DueIndex();
	/** Callers and labels. */
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

	/** Programs that the step has read for a change or added. */
	get edited(): Iterable<ProgramId> {
		return this.#edited.keys();
	}

	/** Programs whose open call may have passed its timeout. */
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

	/** A program to read; changes to it are lost. */
	get(programId: ProgramId): Program | undefined {
		const row = this.#rows.get(programId);
		return (
			this.#edited.get(programId)?.program ??
			(row === undefined
				? undefined
				: unpackProgram(programId, row, this.#texts))
		);
	}

	/** A program to change; see {@link ProgramTable.commit}. */
	edit(programId: ProgramId): Program | undefined {
		const program = this.get(programId);
		if (program && !this.#edited.has(programId)) {
			this.#edited.set(programId, {program, indexed: timesOf(program)});
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
			for (const index of sharedTextsOf(row)) {
				this.#texts.release(index);
			}

			this.#rows.delete(programId);
			this.#indexWork(programId, undefined);
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
					: sharedTextsOf(before);
			const row = packProgram(program, texts);
			if (row !== before) {
				this.#indexTimes(program, indexed);
				this.#indexWork(programId, program);
				this.#rows.set(programId, row);
			}
		}

		this.#edited.clear();
	}

	/** Takes the texts of a snapshot, before its programs. */
	restoreTexts(texts: ReadonlyArray<string | null>): void {
		this.#texts.restore(texts);
	}

	/** Adds a packed program of a snapshot. */
	restore(programId: ProgramId, row: string): Program {
		for (const index of sharedTextsOf(row)) {
			this.#texts.reuse(index);
		}

		this.#rows.set(programId, row);
		const program = this.get(programId)!;
		this.#indexTimes(program, {isTombstone: false});
		this.#indexWork(programId, program);
		return program;
	}

	#indexTimes(program: Program, indexed: IndexedTimes): void {
		const {deadlineMs, isTombstone} = timesOf(program);
		if (deadlineMs !== undefined && deadlineMs !== indexed.deadlineMs) {
			this.deadlines.add(program.id, deadlineMs);
		}

		if (isTombstone && !indexed.isTombstone) {
			this.tombstones.add(program.id, program.endedAtMs!);
		}
	}

	#indexWork(programId: ProgramId, program: Program | undefined): void {
		const note = (set: Set<ProgramId>, isWaiting: boolean | undefined) => {
			if (isWaiting) {
				set.add(programId);
			} else {
				set.delete(programId);
			}
		};

		const isEnded = program?.endedAtMs !== undefined;
		note(this.releasing, isEnded && program.holds.length > 0);
		note(this.returning, program?.returnPending);
		note(
			this.carving,
			program?.carves?.some((carve) => !carve.returned),
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
