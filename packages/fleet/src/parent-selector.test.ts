import {asId, type DaemonId, type IncarnationId} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {FleetMember} from './member.ts';
import {ParentSelector} from './parent-selector.ts';

/** Time that a daemon waits for a response. */
const TIMEOUT_MS = 700;

const ids = ['a1', 'a2', 'b1', 'b2', 'c1'].map((id) => asId<DaemonId>(id));

const members = ids.map((daemonId): FleetMember => ({
	daemonId,
	name: daemonId,
	incarnation: asId<IncarnationId>('first'),
	sequence: 1,
	role: 'control',
	zone: daemonId[0]!,
	phase: 'ready',
	ledGroups: [],
	documentVersion: 0,
}));

const known = {seeds: ids.slice(0, 3), members, leaderId: undefined};

describe('ParentSelector', () => {
	it('finds a sound control daemon after at most one try of each other', () => {
		// Guards against a choice that returns to daemons which failed or are cut off before it tried all.
		const state = fc.constantFrom('sound', 'cut-off', 'silent');
		fc.assert(
			fc.property(
				fc.array(state, {minLength: 5, maxLength: 5}),
				fc.constantFrom('a', 'b', 'c', 'd'),
				fc.integer({min: 1, max: 2 ** 31 - 2}),
				(states, zone, seed) => {
					fc.pre(states.filter((one) => one === 'silent').length <= 2);
					fc.pre(states.includes('sound'));
					let draws = seed;
					const selector = new ParentSelector({
						selfId: asId<DaemonId>('e1'),
						zone,
						role: 'entry',
						maxConfirmedAgeMs: 2000,
						random() {
							draws = (draws * 16_807) % (2 ** 31 - 1);
							return draws / 2 ** 31;
						},
					});
					let nowMs = 10_000;
					for (let tries = 1; tries <= 5; tries++) {
						const id = selector.choose(known, nowMs)!;
						const found = states[ids.indexOf(id)];
						if (found === 'silent') {
							nowMs += TIMEOUT_MS;
							selector.recordFailure(id, nowMs);
						} else {
							nowMs += 1;
							const ageMs = found === 'sound' ? 300 : 9000;
							selector.recordResponse(id, ageMs, nowMs);
						}

						if (found === 'sound') {
							expect(selector.parentId).toBe(id);
							expect(selector.choose(known, nowMs + 500)).toBe(id);
							return;
						}
					}

					expect.fail('no sound control daemon was found');
				},
			),
			{seed: 24, numRuns: 500},
		);
	});

	it('reports once that a parent has no current confirmation', () => {
		// Guards against a log line for each response during a long cut.
		const selector = new ParentSelector({
			selfId: asId<DaemonId>('e1'),
			zone: 'a',
			role: 'entry',
			maxConfirmedAgeMs: 2000,
		});
		const [parentId] = ids;
		expect(selector.recordResponse(parentId!, 100, 0)).toBe('found');
		expect(selector.recordResponse(parentId!, 2500, 1)).toBe('stale');
		expect(selector.recordResponse(parentId!, 3000, 2)).toBe('unchanged');
		expect(selector.recordResponse(parentId!, 100, 3)).toBe('unchanged');
		expect(selector.recordResponse(parentId!, 2500, 4)).toBe('stale');
	});
});
