/** A turn for which an engine is chosen. */
export type SiteRequest = {
	number: number;
	programId: string;
	parts: ReadonlyArray<{id: string; tokens: number}>;
	/** Engine and context length of the program's previous turn. */
	last: {engine: number; contextTokens: number} | undefined;
};

/** Scheduling policy that chooses engines for all entry daemons. */
export abstract class SitePolicy {
	abstract readonly name: string;

	/** @returns the index of an engine. */
	abstract choose(entry: number, request: SiteRequest, nowMs: number): number;

	/** Records that a turn sent by an entry daemon has ended. */
	abstract recordEnd(entry: number, engine: number): void;

	/** Sends the loads of an entry daemon to its relay and applies the loads of the others. */
	abstract exchangeLoads(entry: number, nowMs: number): void;

	/** Exchanges loads between the relays, if the policy has any. */
	abstract exchangeBetweenRelays(nowMs: number): void;
}
