/** A turn that an engine is chosen for. */
export type SiteRequest = {
	number: number;
	programId: string;
	parts: ReadonlyArray<{id: string; tokens: number}>;
	/** Where the program's last turn ran. */
	last: {engine: number; contextTokens: number} | undefined;
};

/** Chooses engines for all entry daemons. */
export abstract class SitePolicy {
	abstract readonly name: string;

	/** @returns the index of an engine. */
	abstract choose(entry: number, request: SiteRequest, nowMs: number): number;

	/** A turn that an entry daemon sent has ended. */
	abstract noteDone(entry: number, engine: number): void;

	/** An entry daemon tells what it knows and takes what the others told. */
	abstract exchange(entry: number, nowMs: number): void;

	/** The relays tell each other what they know; a policy may have none. */
	abstract share(nowMs: number): void;
}
