/**
 * Time for which the VM was suspended since the wall clock was last compared with the monotonic clock. A
 * step of the wall clock forward counts as well and only shortens a lease; a step back counts as nothing.
 *
 * @param wallOffsetMs - difference between the two clocks at that time; undefined when there was none.
 */
export const suspendedSince = (
	wallOffsetMs: number | undefined,
	nowMs: number,
	wallMs: number,
): number =>
	wallOffsetMs === undefined ? 0 : Math.max(0, wallMs - nowMs - wallOffsetMs);
