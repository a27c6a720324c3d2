import {type DaemonId, MAX_CLOCK_DRIFT} from '@marjoramcove/types';

/** State of a daemon as known to the configuration leader. */
export type DaemonConfirmation = {
	daemonId: DaemonId;
	/** Revision in the newest heartbeat. */
	appliedRevision: number;
	/** Time at which the leader last granted a lease to the daemon. */
	leaseGrantedAtMs: number;
};

/** State of a registrar as known to the configuration leader. */
export type RegistrarAcknowledgement = {
	/**
	 * Revision of the confirmation that the registrar uses. The summary that it sent with this revision
	 * lists all daemons to which it granted leases on older revisions.
	 */
	acknowledgedRevision: number;
	/** Time at which the leader last confirmed the configuration to the registrar. */
	confirmedAtMs: number;
};

/** Progress of a change on its way to all daemons. */
export type Propagation = {
	/** Daemons that reported this revision or a later one. */
	confirmed: DaemonId[];
	/** Daemons whose lease on an older revision has expired; they accept no work until they catch up. */
	expired: DaemonId[];
	/** Daemons that may still accept work under an older revision. */
	pending: DaemonId[];
	/** Whether the change is in force on all daemons that accept work. */
	isInForce: boolean;
	/** Latest time at which the change comes into force. */
	inForceAtMs: number;
};

/** Maximum duration of a lease, measured by the clock of the leader. */
const maxLeaseDurationMs = (leaseMs: number): number =>
	leaseMs * (1 + MAX_CLOCK_DRIFT);

/**
 * Evaluates which daemons have applied a change. An answer after the commit extends a lease only once
 * the change is applied, so a lease on an older revision was granted before the commit. A new leader
 * does not know which leases its predecessor granted, so it waits for the duration of one lease. A
 * registrar that has not acknowledged the revision may have granted leases to daemons that it has not
 * reported yet, so its last confirmation must have expired.
 *
 * @param committedAtMs - time at which this leader learned that the change was committed.
 * @param leaderSinceMs - time at which this leader took over.
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
	const leaseDurationMs = maxLeaseDurationMs(leaseMs);
	const outdated = daemons.filter(
		(daemon) => daemon.appliedRevision < revision,
	);
	const leaseEndMs = (daemon: DaemonConfirmation): number =>
		Math.min(daemon.leaseGrantedAtMs, committedAtMs) + leaseDurationMs;
	const inForceAtMs = Math.max(
		leaderSinceMs + leaseDurationMs,
		...outdated.map((daemon) => leaseEndMs(daemon)),
		...registrars
			.filter((registrar) => registrar.acknowledgedRevision < revision)
			.map(
				({confirmedAtMs}) =>
					Math.min(confirmedAtMs, committedAtMs) + leaseDurationMs,
			),
	);
	return {
		confirmed: daemons
			.filter((daemon) => daemon.appliedRevision >= revision)
			.map((daemon) => daemon.daemonId),
		expired: outdated
			.filter((daemon) => nowMs >= leaseEndMs(daemon))
			.map((daemon) => daemon.daemonId),
		pending: outdated
			.filter((daemon) => nowMs < leaseEndMs(daemon))
			.map((daemon) => daemon.daemonId),
		isInForce: nowMs >= inForceAtMs,
		inForceAtMs,
	};
};
