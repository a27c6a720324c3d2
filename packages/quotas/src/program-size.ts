/** Half-life of what was learnt. With 20 s, teams that begin two programs per second were estimated too noisily. */
const HALF_LIFE_MS = 40_000;

/** Assumed before any program was seen. Too low a value admits programs that cannot end. */
const ASSUMED_REQUESTS_PER_PROGRAM = 10;

/** Number of programs by which the assumption is weighted against what was seen. */
const ASSUMED_PROGRAMS = 3;

/** Learns how many requests a program of a team makes in all. */
export class ProgramSize {
	#requests = 0;
	#firstTurns = 0;

	get requestsPerProgram(): number {
		return Math.max(
			1,
			(this.#requests + ASSUMED_PROGRAMS * ASSUMED_REQUESTS_PER_PROGRAM) /
				(this.#firstTurns + ASSUMED_PROGRAMS),
		);
	}

	/** Records granted requests; returned ones are negative. */
	record(requests: number, firstTurns: number): void {
		this.#requests = Math.max(0, this.#requests + requests);
		this.#firstTurns = Math.max(0, this.#firstTurns + firstTurns);
	}

	age(elapsedMs: number): void {
		const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
		this.#requests *= kept;
		this.#firstTurns *= kept;
	}
}
