/** Number of programs that must have sent a part for it to count as shared. */
const MIN_SHARING_PROGRAMS = 2;

/** Maximum number of tracked parts; the least recently used are discarded first. */
const MAX_PARTS = 4096;

type PartUse = {lastProgramId: string; programs: number};

/**
 * Distinguishes prompt parts that several programs share, such as a system prompt, from those of a single
 * program. Only shared parts are announced to other daemons.
 *
 * @example
 * ```ts
 * const detector = new SharedPartDetector();
 * detector.record('program-1', ['5c1e', '91bd']);
 * detector.isShared('5c1e'); // false until two programs have sent it
 * ```
 */
export class SharedPartDetector {
	readonly #uses = new Map<string, PartUse>();

	record(programId: string, partIds: readonly string[]): void {
		for (const id of partIds) {
			const use = this.#uses.get(id) ?? {lastProgramId: '', programs: 0};
			if (use.lastProgramId !== programId) {
				use.lastProgramId = programId;
				use.programs++;
			}

			// Reinserting the entry keeps the map ordered by last use.
			this.#uses.delete(id);
			this.#uses.set(id, use);
		}

		while (this.#uses.size > MAX_PARTS) {
			const [oldest] = this.#uses.keys();
			this.#uses.delete(oldest!);
		}
	}

	isShared(id: string): boolean {
		return (this.#uses.get(id)?.programs ?? 0) >= MIN_SHARING_PROGRAMS;
	}
}
