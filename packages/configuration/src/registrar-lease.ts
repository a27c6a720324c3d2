import {assertInvariant} from '@marjoramcove/errors';
import {MAX_CLOCK_DRIFT} from '@marjoramcove/types';
import type {ConfigurationDigest} from './commands.ts';
import {suspendedSince} from './suspended-since.ts';

/** A time of the process: its monotonic clock, and the wall clock to see that the VM was suspended. */
export type ProcessTime = {nowMs: number; wallMs: number};

/** What the leader confirmed to a registrar. */
export type RegistrarConfirmation = {
	/** Time at which the request was sent. */
	sentAtMs: number;
	/** Longest lease of a daemon, from `sentAtMs`. */
	leaseMs: number;
	digest: ConfigurationDigest;
};

/**
 * Confirmed view of a registrar on the configuration. Times are on the monotonic clock plus the time
 * for which the VM was suspended.
 */
export type RegistrarLeaseState = {
	confirmation?: RegistrarConfirmation;
	suspendedMs: number;
	/** Difference between the wall clock and the monotonic clock at the last event. */
	wallOffsetMs?: number;
};

/** Lease that a registrar may give to a daemon. */
export type LeaseGrant = {leaseMs: number; digest: ConfigurationDigest};

/** Creates a registrar without a confirmation; it grants nothing. */
export const createRegistrarLease = (): RegistrarLeaseState => ({
	suspendedMs: 0,
});

/**
 * Elapsed time of the registrar, with the time for which its VM was suspended. To be called regularly.
 */
export const readElapsedMs = (
	state: RegistrarLeaseState,
	{nowMs, wallMs}: ProcessTime,
): number => {
	state.suspendedMs += suspendedSince(state.wallOffsetMs, nowMs, wallMs);
	state.wallOffsetMs = wallMs - nowMs;
	return nowMs + state.suspendedMs;
};

/**
 * Takes a confirmation of the leader; a late answer to an earlier request has no effect. Of requests
 * that overlap, the later one may have been answered first. The registrar then keeps the newer revision,
 * because it may have acknowledged it.
 *
 * @throws InvariantViolationError when a revision has two hashes.
 */
export const takeConfirmation = (
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
 * Lease for a daemon whose heartbeat arrived at `receivedAtMs`. The daemon counts it from the time at
 * which it sent the heartbeat, which is not later than `receivedAtMs`, so the lease ends at most
 * `leaseMs` after the request that the leader confirmed. The age of the confirmation is taken by the
 * slowest allowed clock.
 *
 * @returns undefined when the confirmation allows no lease.
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
