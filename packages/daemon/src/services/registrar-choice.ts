import {type Member, rankRegistrars} from '@marjoramcove/membership';
import type {Settings} from '@marjoramcove/settings';
import {asId, type DaemonId, type ZoneName} from '@marjoramcove/types';

type Located = {daemonId: DaemonId; zone: ZoneName};

/** Remembers which registrars failed and chooses the one for the next heartbeat. */
export class RegistrarChoice {
	readonly #self: Located & {isRegistrar: boolean};
	readonly #registrars: Located[];
	readonly #daemons: Located[];
	/** Time until which a registrar is only used when there is no other. */
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
	 * Registrar for the next heartbeat: this daemon itself when it is one, else the first by rendezvous
	 * hashing that is live and did not fail lately; when all failed, the one that failed first.
	 */
	choose(members: ReadonlyMap<DaemonId, Member>, nowMs: number): DaemonId {
		const untilOf = ({daemonId}: Located) =>
			this.#avoidedUntilMs.get(daemonId) ?? 0;
		const usable = this.#registrars.filter(
			(registrar) => untilOf(registrar) <= nowMs,
		);
		if (usable.length === 0) {
			return this.#registrars.toSorted((a, b) => untilOf(a) - untilOf(b))[0]!
				.daemonId;
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

	/** Notes that a registrar failed. */
	avoid(daemonId: DaemonId, untilMs: number): void {
		this.#avoidedUntilMs.set(daemonId, untilMs);
	}
}
