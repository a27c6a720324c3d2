import {type Member, rankRegistrars} from '@marjoramcove/membership';
import type {Settings} from '@marjoramcove/settings';
import {asId, type DaemonId, type ZoneName} from '@marjoramcove/types';

type DaemonLocation = {daemonId: DaemonId; zone: ZoneName};

/** Chooses the registrar for the next heartbeat and avoids those that failed recently. */
export class RegistrarSelector {
	readonly #self: DaemonLocation & {isRegistrar: boolean};
	readonly #registrars: DaemonLocation[];
	readonly #daemons: DaemonLocation[];
	/** Time until which a registrar is used only if no other is available. */
	readonly #avoidedUntilMs = new Map<DaemonId, number>();

	constructor({daemonId, zone, cluster}: Settings) {
		const peers = cluster.peers.map((peer) => ({
			daemonId: asId<DaemonId>(peer.daemonId),
			zone: asId<ZoneName>(peer.zone),
			state: peer.state,
		}));
		this.#daemons = peers;
		this.#registrars = peers.filter(({state}) => state);
		const isRegistrar = this.#registrars.some(
			(registrar) => registrar.daemonId === daemonId,
		);
		this.#self = {
			daemonId: asId<DaemonId>(daemonId),
			zone: asId<ZoneName>(zone),
			isRegistrar,
		};
	}

	/**
	 * Returns the registrar for the next heartbeat: this daemon itself if it is one, otherwise the first by
	 * rendezvous hashing that is live and not avoided. When all are avoided, returns the one whose
	 * avoidance ends first.
	 */
	choose(members: ReadonlyMap<DaemonId, Member>, nowMs: number): DaemonId {
		const avoidedUntilMsOf = ({daemonId}: DaemonLocation) =>
			this.#avoidedUntilMs.get(daemonId) ?? 0;
		const usable = this.#registrars.filter(
			(registrar) => avoidedUntilMsOf(registrar) <= nowMs,
		);
		if (usable.length === 0) {
			return this.#registrars.toSorted(
				(a, b) => avoidedUntilMsOf(a) - avoidedUntilMsOf(b),
			)[0]!.daemonId;
		}

		if (
			this.#self.isRegistrar &&
			usable.some(({daemonId}) => daemonId === this.#self.daemonId)
		) {
			return this.#self.daemonId;
		}

		const live = usable.filter(
			({daemonId}) =>
				members.has(daemonId) && members.get(daemonId)!.phase !== 'draining',
		);
		const daemons = members.size > 0 ? [...members.values()] : this.#daemons;
		return rankRegistrars(
			this.#self,
			live.length > 0 ? live : usable,
			daemons,
		)[0]!.daemonId;
	}

	/** Avoids a registrar that failed until the given time. */
	avoid(daemonId: DaemonId, untilMs: number): void {
		this.#avoidedUntilMs.set(daemonId, untilMs);
	}
}
