/** Programs that must have sent a part before it counts as common. */
const COMMON_PROGRAMS = 2;

/** Parts that are remembered; the oldest ones are dropped first. */
const MAX_PARTS = 4096;

type Use = {lastProgramId: string; programs: number};

/**
 * Tells parts that many programs share, such as a system prompt, from those of one program. Only the
 * former are worth telling other daemons about.
 *
 * @example
 * ```ts
 * const popularity = new PartPopularity();
 * popularity.note('program-1', ['5c1e', '91bd']);
 * popularity.isCommon('5c1e'); // false until two programs have sent it
 * ```
 */
export class PartPopularity {
	readonly #uses = new Map<string, Use>();

	note(programId: string, partIds: readonly string[]): void {
		for (const id of partIds) {
			const use = this.#uses.get(id) ?? {lastProgramId: '', programs: 0};
			if (use.lastProgramId !== programId) {
				use.lastProgramId = programId;
				use.programs++;
			}

			// The order of the map is that of the last use.
			this.#uses.delete(id);
			this.#uses.set(id, use);
		}

		while (this.#uses.size > MAX_PARTS) {
			const [oldest] = this.#uses.keys();
			this.#uses.delete(oldest!);
		}
	}

	isCommon(id: string): boolean {
		return (this.#uses.get(id)?.programs ?? 0) >= COMMON_PROGRAMS;
	}
}
