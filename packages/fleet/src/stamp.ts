/** Version of a topic; comparable across changes of the leader that publishes it. */
export type Stamp = {
	/** Term of the publishing leader. */
	term: number;
	/** Number of the change within the term. */
	sequence: number;
};

/**
 * Compares two stamps; the result is positive if the first one is newer.
 *
 * @example
 * ```ts
 * compareStamps({term: 2, sequence: 0}, {term: 1, sequence: 9}); // 1
 * ```
 */
export const compareStamps = (a: Stamp, b: Stamp): number =>
	Math.sign(a.term - b.term || a.sequence - b.sequence);

/**
 * Whether a stamp is newer than a known one; any stamp is newer than `undefined`.
 *
 * @example
 * ```ts
 * isNewer({term: 1, sequence: 2}, undefined); // true
 * ```
 */
export const isNewer = (stamp: Stamp, known: Stamp | undefined): boolean =>
	known === undefined || compareStamps(stamp, known) > 0;
