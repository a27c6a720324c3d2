import {
	asId,
	type DaemonId,
	type IncarnationId,
	type ZoneName,
} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	createMemberRelay,
	createMembershipState,
	createRegistrarTable,
	createRoster,
	expireRoster,
	type MembershipState,
	membershipUpdateSince,
	rankRegistrars,
	registerMember,
	relayedUpdateSince,
	type RosterSummary,
	stepMembership,
	summariseRoster,
	applySummary,
	updateRelay,
} from './index.ts';

type Choice = {action: number; pick: number; random: number};

const timeoutMs = 1000;
const choices = fc.array(
	fc.record<Choice>({
		action: fc.nat(99),
		pick: fc.nat(99),
		random: fc.nat(99),
	}),
	{minLength: 50, maxLength: 200, size: 'max'},
);

class Registrar {
	roster = createRoster();
	relay = createMemberRelay();
	incarnation = 1;
	acknowledgedVersion: number | undefined;
}

/**
 * Simulates three registrars and five daemons that change registrars, crash and restart, with leader
 * changes and lost or delayed messages.
 */
class RosterModel {
	readonly registrars = [new Registrar(), new Registrar(), new Registrar()];
	readonly daemons = Array.from({length: 5}, () => ({
		incarnation: 1,
		startedAtMs: 0,
		sequence: 0,
		registrarIndex: 0,
		isUp: true,
	}));

	membership!: MembershipState;
	nowMs = 0;
	#table = createRegistrarTable();
	#delayed: Array<() => void> = [];

	constructor() {
		this.#electLeader();
	}

	run(list: Choice[]): void {
		for (const {action, pick, random} of list) {
			const daemon = this.daemons[pick % 5]!;
			if (action < 6) {
				daemon.registrarIndex = random % 3;
			} else if (action < 8) {
				daemon.isUp = !daemon.isUp;
				daemon.incarnation++;
				daemon.startedAtMs = this.nowMs;
				daemon.sequence = 0;
			} else if (action < 10) {
				this.#electLeader();
			} else if (action < 12) {
				const registrar = this.registrars[pick % 3]!;
				const {incarnation} = registrar;
				Object.assign(registrar, new Registrar(), {
					incarnation: incarnation + 1,
				});
			} else if (action < 20) {
				for (const deliver of this.#delayed.splice(0)) {
					deliver();
				}
			}

			this.#advance(random);
		}
	}

	/** Runs without faults until all timeouts have passed. */
	settle(): void {
		this.#delayed = [];
		for (let step = 0; step < 40; step++) {
			this.#advance(0);
		}
	}

	#electLeader(): void {
		this.#table = createRegistrarTable();
		this.membership = createMembershipState({
			epoch: `leader-${this.nowMs}-${Math.trunc(this.nowMs)}`,
			nowMs: this.nowMs,
			settings: {memberTimeoutMs: timeoutMs},
		});
	}

	#advance(random: number): void {
		this.nowMs += 100;
		for (const [index, daemon] of this.daemons.entries()) {
			if (daemon.isUp) {
				this.#sendHeartbeat(index, random);
			}
		}

		for (const [index, registrar] of this.registrars.entries()) {
			expireRoster(
				registrar.roster,
				{memberTimeoutMs: timeoutMs, keepRemovedMs: 3000},
				this.nowMs,
			);
			this.#synchronize(registrar, index, random);
		}

		stepMembership(this.membership, {type: 'tick'}, this.nowMs);
	}

	#sendHeartbeat(index: number, random: number): void {
		const daemon = this.daemons[index]!;
		const {incarnation, startedAtMs, registrarIndex} = daemon;
		daemon.sequence++;
		const {sequence} = daemon;
		const deliver = () => {
			registerMember(
				this.registrars[registrarIndex]!.roster,
				{
					sequence,
					report: {
						daemonId: asId<DaemonId>(`d${index}`),
						incarnation: asId<IncarnationId>(`i${incarnation}`),
						startedAtMs,
						zone: asId<ZoneName>('zone-a'),
						address: `address-${index}`,
						phase: 'ready',
						appliedRevision: Math.trunc(this.nowMs / 1000),
					},
				},
				this.nowMs,
			);
		};

		if (random < 80) {
			deliver();
		}

		if (random > 70) {
			this.#delayed.push(deliver);
		}
	}

	#synchronize(registrar: Registrar, index: number, random: number): void {
		const summary = summariseRoster(
			registrar.roster,
			registrar.acknowledgedVersion,
		);
		if (random > 60 && random < 75) {
			const {incarnation} = registrar;
			this.#delayed.push(() => {
				this.#applySummary(index, incarnation, summary);
			});
		}

		if (random % 7 === 6) {
			return;
		}

		const isKnown = this.#applySummary(index, registrar.incarnation, summary);
		if (random % 5 === 4) {
			return;
		}

		registrar.acknowledgedVersion = isKnown ? summary.version : undefined;
		const {epoch, version} = registrar.relay.view;
		updateRelay(
			registrar.relay,
			membershipUpdateSince(this.membership, {epoch, version}),
		);
	}

	#applySummary(
		index: number,
		incarnation: number,
		summary: RosterSummary,
	): boolean {
		return applySummary(
			this.#table,
			this.membership,
			{
				registrarId: asId<DaemonId>(`r${index}`),
				incarnation: asId<IncarnationId>(`i${incarnation}`),
				summary,
			},
			this.nowMs,
		);
	}
}

describe('rosters of registrars', () => {
	it('converge to one list of the running daemons (failure: calls go to a daemon that no longer exists, or a live one receives none)', () => {
		fc.assert(
			fc.property(choices, (list) => {
				const model = new RosterModel();
				model.run(list);
				model.settle();
				const expected = model.daemons
					.flatMap(({isUp, incarnation}, index) =>
						isUp ? [`d${index} i${incarnation}`] : [],
					)
					.join(',');
				for (const {relay} of model.registrars) {
					const {changed} = relayedUpdateSince(relay);
					expect(
						changed
							.map(({daemonId, incarnation}) => `${daemonId} ${incarnation}`)
							.toSorted((a, b) => (a < b ? -1 : 1))
							.join(','),
					).toBe(expected);
				}
			}),
			{seed: 20_261_204, numRuns: 300, endOnFailure: true},
		);
	});
});

describe('ranking of registrars', () => {
	const createDaemons = (prefix: string, count: number, zones: string[]) =>
		Array.from({length: count}, (_, index) => ({
			daemonId: asId<DaemonId>(`${prefix}${index}`),
			zone: asId<ZoneName>(zones[index % zones.length]!),
		}));

	it('balances the load with zones of different sizes (failure: one registrar serves a whole zone)', () => {
		const daemons = [
			...createDaemons('a', 300, ['zone-a']),
			...createDaemons('b', 120, ['zone-b', 'zone-c']),
		];
		const registrars = createDaemons('r', 18, ['zone-a', 'zone-b', 'zone-c']);
		const counts = new Map<DaemonId, number>();
		for (const daemon of daemons) {
			const {daemonId} = rankRegistrars(daemon, registrars, daemons)[0]!;
			counts.set(daemonId, (counts.get(daemonId) ?? 0) + 1);
		}

		// An even share is 23; rendezvous hashing balances only statistically.
		expect(Math.max(...counts.values())).toBeLessThan(2 * (420 / 18));
		const lost = registrars[0]!.daemonId;
		const rest = registrars.filter(({daemonId}) => daemonId !== lost);
		for (const daemon of createDaemons('b', 120, ['zone-b', 'zone-c'])) {
			const before = rankRegistrars(daemon, registrars, daemons)[0]!.daemonId;
			const after = rankRegistrars(daemon, rest, daemons)[0]!.daemonId;
			if (before !== lost && registrars[0]!.zone !== daemon.zone) {
				expect(after).toBe(before);
			}
		}
	});
});
