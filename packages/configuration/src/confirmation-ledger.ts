import type {DaemonId} from '@marjoramcove/types';
import type {
	DaemonConfirmation,
	RegistrarAcknowledgement,
} from './propagation.ts';

/** What the leader knows of the leases that registrars grant; empty at the start of a term. */
export type ConfirmationLedger = {
	daemons: Map<DaemonId, DaemonConfirmation>;
	/** By registrar and incarnation: a restarted registrar does not know its earlier leases. */
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
 * Notes that the leader confirms the configuration to a registrar.
 *
 * @param confirmation - `key` names the registrar and its incarnation; `confirmedRevision` is that of
 *   the confirmation that the registrar used when it sent the summary; `held` are the daemons that the
 *   registrar heard last of all registrars, `removed` those that it hears no more.
 */
export const noteConfirmation = (
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

/** Forgets registrars whose last confirmation ran out long ago, for example those that restarted. */
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
