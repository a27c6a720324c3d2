import {type DaemonId, MAX_CLOCK_DRIFT} from '@marjoramcove/types';

/** What the configuration leader knows of a daemon. */
export type DaemonConfirmation = {
	daemonId: DaemonId;
	/** Revision in the newest heartbeat. */
	appliedRevision: number;
	/** Time at which the leader last granted a lease to the daemon. */
	leaseGrantedAtMs: number;
};

/** What the configuration leader knows of a registrar. */
export type RegistrarAcknowledgement = {
	/**
	 * Revision of the confirmation that the registrar uses. Its summary of that time names all daemons
	 * to which it granted leases on older revisions.
	 */
	acknowledgedRevision: number;
	/** Time at which the leader last confirmed the configuration to the registrar. */
	confirmedAtMs: number;
};

/** Which daemons have a change. */
export type Propagation = {
	/** Daemons that reported the revision. */
	confirmed: DaemonId[];
	/** Daemons whose lease on an older revision has run out; they take no work before they catch up. */
	expired: DaemonId[];
	/** Daemons that may still work with an older revision. */
	pending: DaemonId[];
	/** Whether the change is in force on all daemons that take work. */
	isInForce: boolean;
	/** Time at which the change is in force at the latest. */
	inForceAtMs: number;
};

/** Longest time that a lease lasts by the clock of the leader. */
const longestLeaseMs = (leaseMs: number): number =>
	leaseMs * (1 + MAX_CLOCK_DRIFT);

/**
 * Evaluates which daemons have a change. An answer after the commit extends a lease only once the
 * change is applied, so a lease on an older revision was granted before the commit. A new leader does
 * not know to whom its predecessor granted leases, so it waits one lease time. A registrar that has not
 * acknowledged the revision may have granted leases to daemons that it has not named yet, so its last
 * confirmation must have run out.
 *
 * @param committedAtMs - time at which this leader saw the change committed.
 * @param leaderSinceMs - time at which this leader began.
 * @example
 * ```ts
 * evaluatePropagation({daemons, revision: 12, leaseMs: 5000, committedAtMs, leaderSinceMs, nowMs}).isInForce;
 * ```
 */
export const evaluatePropagation = ({
	daemons,
	registrars = [],
	revision,
	leaseMs,
	committedAtMs,
	leaderSinceMs,
	nowMs,
}: {
	daemons: readonly DaemonConfirmation[];
	registrars?: readonly RegistrarAcknowledgement[];
	revision: number;
	leaseMs: number;
	committedAtMs: number;
	leaderSinceMs: number;
	nowMs: number;
}): Propagation => {
	const lastsMs = longestLeaseMs(leaseMs);
	const behind = daemons.filter((daemon) => daemon.appliedRevision < revision);
	const endOf = (daemon: DaemonConfirmation): number =>
		Math.min(daemon.leaseGrantedAtMs, committedAtMs) + lastsMs;
	const inForceAtMs = Math.max(
		leaderSinceMs + lastsMs,
		...behind.map((daemon) => endOf(daemon)),
		...registrars
			.filter((registrar) => registrar.acknowledgedRevision < revision)
			.map(
				({confirmedAtMs}) => Math.min(confirmedAtMs, committedAtMs) + lastsMs,
			),
	);
	return {
		confirmed: daemons
			.filter((daemon) => daemon.appliedRevision >= revision)
			.map((daemon) => daemon.daemonId),
		expired: behind
			.filter((daemon) => nowMs >= endOf(daemon))
			.map((daemon) => daemon.daemonId),
		pending: behind
			.filter((daemon) => nowMs < endOf(daemon))
			.map((daemon) => daemon.daemonId),
		isInForce: nowMs >= inForceAtMs,
		inForceAtMs,
	};
};
