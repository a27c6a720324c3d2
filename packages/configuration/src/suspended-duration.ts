/**
 * Returns how long the VM was suspended since the wall clock was last compared with the monotonic clock.
 * A forward step of the wall clock also counts as suspension, which only shortens leases; a backward
 * step counts as 0.
 *
 * @param wallOffsetMs - wall clock minus monotonic clock at the last comparison; undefined before the
 * first one.
 */
export const suspendedDurationMs = (
	wallOffsetMs: number | undefined,
	nowMs: number,
	wallMs: number,
): number =>
	wallOffsetMs === undefined ? 0 : Math.max(0, wallMs - nowMs - wallOffsetMs);
