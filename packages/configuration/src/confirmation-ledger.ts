import type {DaemonId} from '@marjoramcove/types';
import type {
	DaemonConfirmation,
	RegistrarAcknowledgement,
} from './propagation.ts';

/** The leader's knowledge of the leases that registrars have granted; empty at the start of a term. */
export type ConfirmationLedger = {
	daemons: Map<DaemonId, DaemonConfirmation>;
	/** By registrar and incarnation, because a restarted registrar does not know its earlier leases. */
	registrars: Map<string, RegistrarAcknowledgement>;
};

type ReportedRevision = Pick<
	DaemonConfirmation,
	'daemonId' | 'appliedRevision'
>;

/** Creates an empty ledger. */
export const createConfirmationLedger = (): ConfirmationLedger => ({
	daemons: new Map(),
	registrars: new Map(),
});

/**
 * Records that the leader confirms the configuration to a registrar.
 *
 * @param confirmation - `key` identifies the registrar and its incarnation; `confirmedRevision` is the
 *   revision of the confirmation that the registrar used when it sent the summary; `held` are the
 *   daemons whose newest heartbeat went to this registrar; `removed` are the daemons from which it no
 *   longer receives heartbeats.
 */
export const recordConfirmation = (
	{daemons, registrars}: ConfirmationLedger,
	{
		key,
		confirmedRevision,
		held,
		removed,
	}: {
		key: string;
		confirmedRevision: number;
		held: Iterable<ReportedRevision>;
		removed: Iterable<ReportedRevision>;
	},
	nowMs: number,
): void => {
	for (const {daemonId, appliedRevision} of held) {
		daemons.set(daemonId, {daemonId, appliedRevision, leaseGrantedAtMs: nowMs});
	}

	for (const {daemonId, appliedRevision} of removed) {
		if (!daemons.has(daemonId)) {
			daemons.set(daemonId, {
				daemonId,
				appliedRevision,
				leaseGrantedAtMs: nowMs,
			});
		}
	}

	registrars.set(key, {
		acknowledgedRevision: Math.max(
			registrars.get(key)?.acknowledgedRevision ?? -1,
			confirmedRevision,
		),
		confirmedAtMs: nowMs,
	});
};

/**
 * Removes registrars whose last confirmation is older than two leases, for example earlier incarnations
 * of restarted registrars.
 */
export const expireRegistrarConfirmations = (
	{registrars}: ConfirmationLedger,
	leaseMs: number,
	nowMs: number,
): void => {
	for (const [key, {confirmedAtMs}] of registrars) {
		if (nowMs - confirmedAtMs > 2 * leaseMs) {
			registrars.delete(key);
		}
	}
};
