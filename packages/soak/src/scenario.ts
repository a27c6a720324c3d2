/** What a scenario runs with. */
export type ScenarioOptions = {
	/** Everything that a round does is drawn from it. */
	seed: number;
	/** Deliberate fault of the harness that must make the check fail. */
	fault?: string;
};

/** Counts of what a round did, by name. */
export type RoundSummary = Record<string, number>;

/** A randomised run with checks. */
export type Scenario = {
	name: string;
	/** Deliberate faults that this scenario knows. */
	faults: readonly string[];
	/**
	 * Runs one round of a few seconds.
	 *
	 * @throws SoakFailureError when a check fails.
	 */
	runRound(options: ScenarioOptions): Promise<RoundSummary>;
};

/** A check of a soak run failed. */
export class SoakFailureError extends Error {
	/** The last events before the failure, oldest first. */
	readonly events: readonly string[];

	constructor(message: string, events: readonly string[], cause?: unknown) {
		super(message, {cause});
		this.name = 'SoakFailureError';
		this.events = events;
	}
}
