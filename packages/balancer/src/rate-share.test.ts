import {asId, type DaemonId, type UpstreamId} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Placement} from './placement.ts';
import type {ServerLoad} from './server-table.ts';
import {RateStatements} from './rate-statements.ts';

/** Window over which the requests that a server receives are counted. */
const WINDOW_MS = 4000;

/** Requests that a server tolerates in a window: one and a half times its limit, and five more. */
const tolerated = (requestsPerSecond: number) =>
	(1.5 * requestsPerSecond * WINDOW_MS) / 1000 + 5;

const createServers = (count: number) =>
	Array.from({length: count}, (_, index) => ({
		id: asId<UpstreamId>(`s${index}`),
		service: 'models',
		address: '10.0.0.1:80',
		zone: 'a',
		slots: 16,
		isLeaving: false,
	}));

const request = {
	service: 'models',
	programId: 'p',
	prompt: [{id: 'system', tokens: 9000}],
	excludedIds: new Set<UpstreamId>(),
};

type Load = {
	daemonCount: number;
	requestsPerSecond: number;
	/** Milliseconds between two requests that arrive at a daemon, after a pause of the given length. */
	arrivalMs: number;
	pauseMs: number;
	/** Servers without a limit. */
	otherServers: number;
};

/**
 * Plays entry daemons that prefer one limited server, and returns the times at which it receives requests
 * and the number of requests that no server could take.
 */
const play = (load: Load) => {
	const ids = Array.from({length: load.daemonCount}, (_, index) =>
		asId<DaemonId>(`10.0.0.${index}:7140`),
	);
	const placements = ids.map((id) => {
		const placement = new Placement({zone: 'a', random: () => 0.5});
		placement.replaceServers(createServers(1 + load.otherServers), 0);
		placement.replaceDaemons(id, ids, 0);
		const limited = placement.servers[0]!;
		placement.recordRate(limited, load.requestsPerSecond, 1);
		for (let i = 0; i < 3; i++) {
			limited.prefixCache.record({id: 'system', tokens: 9000}, 1);
		}

		return placement;
	});
	const receivedAtMs: number[] = [];
	let unplaced = 0;
	for (let nowMs = load.pauseMs; nowMs < load.pauseMs + 20_000; nowMs += 10) {
		for (const [index, placement] of placements.entries()) {
			if ((nowMs + index * 7) % load.arrivalMs >= 10) {
				continue;
			}

			const chosen = placement.choose(request, nowMs);
			if (!chosen) {
				unplaced++;
				continue;
			}

			placement.recordSent(chosen, request, nowMs);
			placement.recordEnd(chosen);
			if (chosen.server.id === 's0') {
				receivedAtMs.push(nowMs);
			}
		}
	}

	return {receivedAtMs, unplaced};
};

const maxInWindow = (timesMs: readonly number[]): number => {
	let max = 0;
	let start = 0;
	for (const [index, timeMs] of timesMs.entries()) {
		while (timesMs[start]! <= timeMs - WINDOW_MS) {
			start++;
		}

		max = Math.max(max, index - start + 1);
	}

	return max;
};

describe('RateShare', () => {
	describe('requests of all daemons to a server that states a limit', () => {
		it('stay within what it tolerates in any four seconds', () => {
			// Guards against a server in need that gets the requests that every daemon alone finds acceptable.
			fc.assert(
				fc.property(
					fc.record({
						daemonCount: fc.integer({min: 1, max: 80}),
						requestsPerSecond: fc.double({
							min: 0.2,
							max: 40,
							noNaN: true,
						}),
						arrivalMs: fc.integer({min: 20, max: 2000}),
						pauseMs: fc.integer({min: 0, max: 60_000}),
						otherServers: fc.integer({min: 0, max: 3}),
					}),
					(load) => {
						const {receivedAtMs} = play(load);
						expect(maxInWindow(receivedAtMs)).toBeLessThanOrEqual(
							tolerated(load.requestsPerSecond),
						);
					},
				),
				{seed: 24, numRuns: 60},
			);
		});

		it.each([
			[8, 3],
			[72, 4],
			[171, 12],
		])(
			'use most of its limit with %i daemons and %f requests per second',
			(daemonCount, requestsPerSecond) => {
				// Guards against limits that leave a server in need idle while requests wait.
				const {receivedAtMs} = play({
					daemonCount,
					requestsPerSecond,
					arrivalMs: 50,
					pauseMs: 0,
					otherServers: 0,
				});
				const used = receivedAtMs.length / 20;
				expect(used).toBeGreaterThan(0.8 * requestsPerSecond);
				expect(used).toBeLessThan(1.2 * requestsPerSecond);
			},
		);

		it('go to servers without a limit when there are any', () => {
			// Guards against requests that are refused or wait although another server is free.
			const {unplaced} = play({
				daemonCount: 8,
				requestsPerSecond: 3,
				arrivalMs: 100,
				pauseMs: 0,
				otherServers: 1,
			});
			expect(unplaced).toBe(0);
		});
	});

	describe('while the server without a limit is to be avoided', () => {
		const create = (spoil: (load: ServerLoad) => void) => {
			const id = asId<DaemonId>('e1');
			const placement = new Placement({zone: 'a', random: () => 0.5});
			placement.replaceServers(createServers(2), 0);
			placement.replaceDaemons(id, [id], 0);
			placement.recordRate(placement.servers[0]!, 4, 0);
			spoil(placement.servers[1]!);
			return placement;
		};

		it('a request waits for the limited one (failure: it is sent to a server that hangs)', () => {
			const placement = create(({health}) => {
				health.end(health.begin({route: 'chat'}, 0), 'failed', 10);
			});
			expect(placement.choose(request, 100)).toBeUndefined();
			expect(placement.nextPermitAtMs(request, 100)).toBe(250);
			expect(placement.choose(request, 250)?.server.id).toBe('s0');
		});

		it('a request waits for the end of a short avoidance', () => {
			// Guards against a full server that gets each request again at once while the others are limited.
			const placement = create((load) => {
				load.avoidUntilMs = 150;
			});
			expect(placement.choose(request, 100)).toBeUndefined();
			expect(placement.nextPermitAtMs(request, 100)).toBe(150);
			expect(placement.choose(request, 150)?.server.id).toBe('s1');
		});

		it('a request that was sent to the limited one goes to it all the same', () => {
			// Guards against a refusal although one server is left to try.
			const placement = create((load) => {
				load.avoidUntilMs = 1000;
			});
			const excludedIds = new Set([asId<UpstreamId>('s0')]);
			const chosen = placement.choose({...request, excludedIds}, 100);
			expect(chosen?.server.id).toBe('s1');
		});
	});

	describe('a limit', () => {
		const ids = ['e1', 'e2'].map((id) => asId<DaemonId>(id));
		const create = (self: number) => {
			const placement = new Placement({zone: 'a'});
			placement.replaceServers(createServers(1), 0);
			placement.replaceDaemons(ids[self]!, ids, 0);
			return placement;
		};

		const exchange = (from: Placement, to: Placement, nowMs: number) => {
			const relay = new RateStatements();
			relay.record(from.takeUpdate(nowMs).rates!, nowMs);
			const rates = relay.report(nowMs);
			to.applyUpdate({inFlight: {}, shared: [], rates}, nowMs);
		};

		it('that one daemon heard holds for the others, until the server ends it', () => {
			// Guards against daemons that go on with a limit, or without one, that a server changed long ago.
			const [heard, other] = [create(0), create(1)];
			heard.recordRate(heard.servers[0]!, 4, 100);
			exchange(heard, other, 150);
			expect(other.servers[0]!.rateShare.isLimited).toBe(true);
			heard.recordRate(heard.servers[0]!, undefined, 900);
			exchange(heard, other, 950);
			expect(other.servers[0]!.rateShare.isLimited).toBe(false);
			expect(other.choose(request, 950)).toBeDefined();
		});

		it('is not replaced by an older statement', () => {
			// Guards against a delayed report that restores a limit.
			const [heard, other] = [create(0), create(1)];
			heard.recordRate(heard.servers[0]!, 4, 100);
			const {rates} = heard.takeUpdate(150);
			other.recordRate(other.servers[0]!, 4, 120);
			other.recordRate(other.servers[0]!, undefined, 140);
			other.applyUpdate({inFlight: {}, shared: [], rates}, 150);
			expect(other.servers[0]!.rateShare.isLimited).toBe(false);
		});

		it('does not outlive a restart of the server', () => {
			// Guards against a limit that a new instance under the same id never stated.
			const placement = create(0);
			placement.recordRate(placement.servers[0]!, 0.5, 100);
			placement.replaceServers(
				createServers(1).map((server) => ({...server, bornAtMs: 7})),
				0,
			);
			expect(placement.servers[0]!.rateShare.isLimited).toBe(false);
		});

		it('keeps its interval when a daemon loses its share and gets it again', () => {
			// Guards against a permit for each change of the members.
			const placement = create(0);
			placement.recordRate(placement.servers[0]!, 0.5, 0);
			let sent = 0;
			for (let nowMs = 0; nowMs < 40_000; nowMs += 100) {
				const load = placement.choose(request, nowMs);
				if (load) {
					placement.recordSent(load, request, nowMs);
					sent++;
				}

				placement.replaceDaemons(
					ids[0]!,
					nowMs % 200 === 0 ? [ids[1]!] : ids,
					nowMs,
				);
			}

			expect(sent).toBeLessThanOrEqual(11);
		});
	});
});
