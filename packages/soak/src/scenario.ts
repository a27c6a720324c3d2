/** Options of one round of a scenario. */
export type ScenarioOptions = {
	/** Seed of all random decisions of the round. */
	seed: number;
	/** Name of a fault to inject; a check of the scenario must detect it. */
	fault?: string;
};

/** Counters of operations and injected faults of a round, by name. */
export type RoundSummary = Record<string, number>;

/** A randomised test that runs in rounds and checks each of them. */
export type Scenario = {
	name: string;
	/** Names of the faults that can be injected into this scenario. */
	faults: readonly string[];
	/**
	 * Runs one round of a few seconds.
	 *
	 * @throws SoakFailureError when a check fails.
	 */
	runRound(options: ScenarioOptions): Promise<RoundSummary>;
};

/** Thrown when a check of a soak run fails. */
export class SoakFailureError extends Error {
	/** The last events before the failure, oldest first. */
	readonly events: readonly string[];

	constructor(message: string, events: readonly string[], cause?: unknown) {
		super(message, {cause});
		this.name = 'SoakFailureError';
		this.events = events;
	}
}
