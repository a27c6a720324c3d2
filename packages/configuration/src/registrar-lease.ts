import {assertInvariant} from '@marjoramcove/errors';
import {MAX_CLOCK_DRIFT} from '@marjoramcove/types';
import type {ConfigurationDigest} from './commands.ts';
import {suspendedDurationMs} from './suspended-duration.ts';

/** Reading of the monotonic clock, and of the wall clock to detect that the VM was suspended. */
export type ProcessTime = {nowMs: number; wallMs: number};

/** Confirmation of the current configuration by the leader, as received by a registrar. */
export type RegistrarConfirmation = {
	/** Time at which the registrar sent the request. */
	sentAtMs: number;
	/** Maximum duration of a daemon's lease, counted from `sentAtMs`. */
	leaseMs: number;
	digest: ConfigurationDigest;
};

/**
 * State from which a registrar grants leases to daemons. Times are on the monotonic clock plus the time
 * for which the VM was suspended.
 */
export type RegistrarLeaseState = {
	confirmation?: RegistrarConfirmation;
	suspendedMs: number;
	/** Wall clock minus monotonic clock at the last reading. */
	wallOffsetMs?: number;
};

/** Lease that a registrar grants to a daemon. */
export type LeaseGrant = {leaseMs: number; digest: ConfigurationDigest};

/** Creates the state of a registrar without a confirmation, which grants no leases. */
export const createRegistrarLease = (): RegistrarLeaseState => ({
	suspendedMs: 0,
});

/**
 * Returns the elapsed time of the registrar, including the time for which its VM was suspended. Must be
 * called regularly.
 */
export const readElapsedMs = (
	state: RegistrarLeaseState,
	{nowMs, wallMs}: ProcessTime,
): number => {
	state.suspendedMs += suspendedDurationMs(state.wallOffsetMs, nowMs, wallMs);
	state.wallOffsetMs = wallMs - nowMs;
	return nowMs + state.suspendedMs;
};

/**
 * Applies a confirmation from the leader. A late answer to an earlier request has no effect. If requests
 * overlap, the leader may have answered the later one first. The registrar then keeps the newer revision,
 * because it may have acknowledged it already.
 *
 * @throws InvariantViolationError when the same revision has a different hash.
 */
export const applyConfirmation = (
	state: RegistrarLeaseState,
	confirmation: RegistrarConfirmation,
): void => {
	const current = state.confirmation;
	assertInvariant(
		current?.digest.revision !== confirmation.digest.revision ||
			current.digest.hash === confirmation.digest.hash,
		'one-hash-per-revision',
		confirmation,
	);
	if (current && confirmation.sentAtMs < current.sentAtMs) {
		return;
	}

	const isNewer =
		!current || confirmation.digest.revision >= current.digest.revision;
	state.confirmation = {
		...confirmation,
		digest: isNewer ? confirmation.digest : current.digest,
	};
};

/**
 * Returns the lease for a daemon whose heartbeat arrived at `receivedAtMs`. The daemon counts it from the
 * time at which it sent the heartbeat, which is not later than `receivedAtMs`, so the lease ends at most
 * `leaseMs` after the request that the leader confirmed. The age of the confirmation is computed as if
 * the local clock were the slowest allowed one.
 *
 * @returns undefined if there is no confirmation or it is too old for a lease.
 * @example
 * ```ts
 * grantLease(state, readElapsedMs(state, {nowMs, wallMs}))?.leaseMs;
 * ```
 */
export const grantLease = (
	{confirmation}: RegistrarLeaseState,
	receivedAtMs: number,
): LeaseGrant | undefined => {
	if (!confirmation) {
		return undefined;
	}

	const ageMs = Math.max(0, receivedAtMs - confirmation.sentAtMs);
	const leaseMs = confirmation.leaseMs - ageMs / (1 - MAX_CLOCK_DRIFT);
	return leaseMs > 0 ? {leaseMs, digest: confirmation.digest} : undefined;
};
