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
	membersSince,
	rankRegistrars,
	registerMember,
	relaySince,
	type RosterSummary,
	stepMembership,
	summariseRoster,
	takeSummary,
	updateRelay,
} from './index.ts';

type Choice = {action: number; pick: number; luck: number};

const timeoutMs = 1000;
const choices = fc.array(
	fc.record<Choice>({
		action: fc.nat(99),
		pick: fc.nat(99),
		luck: fc.nat(99),
	}),
	{minLength: 50, maxLength: 200, size: 'max'},
);

class Registrar {
	roster = createRoster();
	relay = createMemberRelay();
	incarnation = 1;
	summarised: number | undefined;
}

/** Three registrars, five daemons that move, crash and restart, leaders that change, lost messages. */
class RosterModel {
	readonly registrars = [new Registrar(), new Registrar(), new Registrar()];
	readonly daemons = Array.from({length: 5}, () => ({
		incarnation: 1,
		startedAtMs: 0,
		sequence: 0,
		at: 0,
		isUp: true,
	}));

	membership!: MembershipState;
	nowMs = 0;
	#table = createRegistrarTable();
	#late: Array<() => void> = [];

	constructor() {
		this.#elect();
	}

	run(list: Choice[]): void {
		for (const {action, pick, luck} of list) {
			const daemon = this.daemons[pick % 5]!;
			if (action < 6) {
				daemon.at = luck % 3;
			} else if (action < 8) {
				daemon.isUp = !daemon.isUp;
				daemon.incarnation++;
				daemon.startedAtMs = this.nowMs;
				daemon.sequence = 0;
			} else if (action < 10) {
				this.#elect();
			} else if (action < 12) {
				const registrar = this.registrars[pick % 3]!;
				const {incarnation} = registrar;
				Object.assign(registrar, new Registrar(), {
					incarnation: incarnation + 1,
				});
			} else if (action < 20) {
				for (const run of this.#late.splice(0)) {
					run();
				}
			}

			this.#advance(luck);
		}
	}

	/** No more faults until all timeouts have passed. */
	settle(): void {
		this.#late = [];
		for (let step = 0; step < 40; step++) {
			this.#advance(0);
		}
	}

	#elect(): void {
		this.#table = createRegistrarTable();
		this.membership = createMembershipState({
			epoch: `leader-${this.nowMs}-${Math.trunc(this.nowMs)}`,
			nowMs: this.nowMs,
			settings: {memberTimeoutMs: timeoutMs},
		});
	}

	#advance(luck: number): void {
		this.nowMs += 100;
		for (const [index, daemon] of this.daemons.entries()) {
			if (daemon.isUp) {
				this.#sendHeartbeat(index, luck);
			}
		}

		for (const [index, registrar] of this.registrars.entries()) {
			expireRoster(
				registrar.roster,
				{memberTimeoutMs: timeoutMs, keepRemovedMs: 3000},
				this.nowMs,
			);
			this.#confirm(registrar, index, luck);
		}

		stepMembership(this.membership, {type: 'tick'}, this.nowMs);
	}

	#sendHeartbeat(index: number, luck: number): void {
		const daemon = this.daemons[index]!;
		const {incarnation, startedAtMs, at} = daemon;
		daemon.sequence++;
		const {sequence} = daemon;
		const deliver = () => {
			registerMember(
				this.registrars[at]!.roster,
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

		if (luck < 80) {
			deliver();
		}

		if (luck > 70) {
			this.#late.push(deliver);
		}
	}

	#confirm(registrar: Registrar, index: number, luck: number): void {
		const summary = summariseRoster(registrar.roster, registrar.summarised);
		if (luck > 60 && luck < 75) {
			const {incarnation} = registrar;
			this.#late.push(() => {
				this.#takeSummary(index, incarnation, summary);
			});
		}

		if (luck % 7 === 6) {
			return;
		}

		const isKnown = this.#takeSummary(index, registrar.incarnation, summary);
		if (luck % 5 === 4) {
			return;
		}

		registrar.summarised = isKnown ? summary.version : undefined;
		const {epoch, version} = registrar.relay.view;
		updateRelay(
			registrar.relay,
			membersSince(this.membership, {epoch, version}),
		);
	}

	#takeSummary(
		index: number,
		incarnation: number,
		summary: RosterSummary,
	): boolean {
		return takeSummary(
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
	it('lead to one list of the daemons that are up (failure: calls go to a daemon that is gone, or a live one gets none)', () => {
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
					const {changed} = relaySince(relay);
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

describe('choice of a registrar', () => {
	const located = (prefix: string, count: number, zones: string[]) =>
		Array.from({length: count}, (_, index) => ({
			daemonId: asId<DaemonId>(`${prefix}${index}`),
			zone: asId<ZoneName>(zones[index % zones.length]!),
		}));

	it('keeps the load even with zones of different sizes (failure: one registrar carries a whole zone)', () => {
		const daemons = [
			...located('a', 300, ['zone-a']),
			...located('b', 120, ['zone-b', 'zone-c']),
		];
		const registrars = located('r', 18, ['zone-a', 'zone-b', 'zone-c']);
		const counts = new Map<DaemonId, number>();
		for (const daemon of daemons) {
			const {daemonId} = rankRegistrars(daemon, registrars, daemons)[0]!;
			counts.set(daemonId, (counts.get(daemonId) ?? 0) + 1);
		}

		// An even share is 23; rendezvous hashing spreads by chance.
		expect(Math.max(...counts.values())).toBeLessThan(2 * (420 / 18));
		const lost = registrars[0]!.daemonId;
		const rest = registrars.filter(({daemonId}) => daemonId !== lost);
		for (const daemon of located('b', 120, ['zone-b', 'zone-c'])) {
			const before = rankRegistrars(daemon, registrars, daemons)[0]!.daemonId;
			const after = rankRegistrars(daemon, rest, daemons)[0]!.daemonId;
			if (before !== lost && registrars[0]!.zone !== daemon.zone) {
				expect(after).toBe(before);
			}
		}
	});
});
