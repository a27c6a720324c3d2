/**
 * Share of the time limit of a revocation for which a confirmation lasts. The rest covers the way of the last
 * confirmation to the daemon and of a request to a server.
 */
const LEASE_SHARE = 0.6;

/**
 * Returns the age of a confirmation from which requests with a key are refused.
 *
 * @param options.revocationLimitMs - absent if a removed key may stay in use for the whole configuration lease.
 * @example
 * ```ts
 * leaseOfKeysMs({configurationLeaseMs: 10_000, revocationLimitMs: 5000}); // 3000
 * ```
 */
export const leaseOfKeysMs = ({
	configurationLeaseMs,
	revocationLimitMs,
}: {
	configurationLeaseMs: number;
	revocationLimitMs?: number;
}): number =>
	Math.min(
		configurationLeaseMs,
		LEASE_SHARE * (revocationLimitMs ?? Number.POSITIVE_INFINITY),
	);
