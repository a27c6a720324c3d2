import {asId, type UpstreamId} from '@marjoramcove/types';
import {beforeEach, describe, expect, it} from 'vitest';
import {Placement} from './placement.ts';
import {ServerHealth, type BaselineDurations} from './server-health.ts';
import {DurationAverages} from './duration-averages.ts';

const ROUTE = {route: 'look-up'};

const respond = (health: ServerHealth, atMs: number, takesMs: number) => {
	const attempt = health.begin(ROUTE, atMs);
	health.recordChunk(attempt, atMs + takesMs);
	health.end(attempt, 'answered', atMs + takesMs);
};

const streamChunks = (health: ServerHealth, atMs: number, gapMs: number) => {
	const attempt = health.begin({route: 'chat', streamGroup: 'models'}, atMs);
	for (let chunk = 1; chunk <= 5; chunk++) {
		health.recordChunk(attempt, atMs + chunk * gapMs);
	}

	health.end(attempt, 'answered', atMs + 5 * gapMs);
};

describe('ServerHealth', () => {
	let baseline: BaselineDurations;
	let health: ServerHealth;
	let other: ServerHealth;

	beforeEach(() => {
		baseline = {
			firstChunk: new DurationAverages(),
			total: new DurationAverages(),
			chunkGap: new DurationAverages(),
		};
		health = new ServerHealth(baseline);
		other = new ServerHealth(baseline);
		for (let atMs = 0; atMs < 1000; atMs += 50) {
			respond(other, atMs, 20);
			streamChunks(other, atMs, 10);
		}
	});

	describe('of an unresponsive server', () => {
		it('avoids it while a request waits (failure: more requests are sent to a server that hangs)', () => {
			health.begin(ROUTE, 1000);
			expect(health.isAvoided(1299)).toBe(false);
			expect(health.isAvoided(1300)).toBe(true);
		});

		it('uses it again after the first chunk', () => {
			const attempt = health.begin(ROUTE, 1000);
			health.recordChunk(attempt, 1400);
			expect(health.isAvoided(1401)).toBe(false);
		});

		it('avoids it after the request was cancelled, each time for longer', () => {
			const first = health.begin(ROUTE, 1000);
			expect(health.end(first, 'cancelled', 2000)).toBe(1000);
			expect(health.isAvoided(2999)).toBe(true);
			expect(health.isAvoided(3000)).toBe(false);
			const second = health.begin(ROUTE, 3000);
			expect(health.end(second, 'cancelled', 4000)).toBe(2000);
			const late = health.begin(ROUTE, 20_000);
			expect(health.end(late, 'cancelled', 21_000)).toBe(1000);
		});

		it('ignores a request that the caller cancels early', () => {
			const attempt = health.begin(ROUTE, 1000);
			expect(health.end(attempt, 'cancelled', 1200)).toBe(0);
		});

		it('has no limit for a route without responses so far (failure: a route with a short timeout blocks its servers)', () => {
			const attempt = health.begin({route: 'new'}, 1000);
			expect(health.isAvoided(9000)).toBe(false);
			expect(health.end(attempt, 'cancelled', 9000)).toBe(0);
		});
	});

	describe('of a server that returns errors', () => {
		it('tolerates single errors and avoids it when a third of the responses are errors', () => {
			const fail = (atMs: number) =>
				health.end(health.begin(ROUTE, atMs), 'error', atMs + 5);
			expect(fail(1000)).toBe(0);
			respond(health, 1010, 20);
			expect(fail(1040)).toBeGreaterThan(0);
		});

		it('does not accumulate errors with many successful responses in between', () => {
			for (let atMs = 1000; atMs < 9000; atMs += 500) {
				expect(health.end(health.begin(ROUTE, atMs), 'error', atMs + 5)).toBe(
					0,
				);
				for (let more = 1; more <= 10; more++) {
					respond(health, atMs + more * 20, 20);
				}
			}
		});
	});

	describe('of a slow server', () => {
		it('estimates how much longer a stream takes than on other servers', () => {
			expect(health.slowdownMs(1000)).toBe(0);
			streamChunks(health, 1000, 60);
			streamChunks(health, 1300, 60);
			expect(health.slowdownMs(1600)).toBeGreaterThan(50);
			expect(other.slowdownMs(1600)).toBe(0);
		});

		it('lets the slowdown decay, so that the server is tried again (failure: it is never used again)', () => {
			streamChunks(health, 1000, 60);
			streamChunks(health, 1300, 60);
			expect(health.slowdownMs(12_000)).toBe(0);
		});

		it('does not treat a long response with few chunks as slow', () => {
			const attempt = health.begin(
				{route: 'chat', streamGroup: 'models'},
				1000,
			);
			health.recordChunk(attempt, 1400);
			health.end(attempt, 'answered', 1400);
			expect(health.slowdownMs(1400)).toBe(0);
		});
	});
});

describe('Placement with a server that hangs', () => {
	/**
	 * Sends a request every 5 ms and counts those that hang. Server 0 hangs after the first second; the
	 * others respond after 20 ms.
	 */
	const countHangingRequests = (durationMs: number): number => {
		const placement = new Placement({zone: 'a', random: () => 0.5});
		placement.replaceServers(
			Array.from({length: 6}, (_, index) => ({
				id: asId<UpstreamId>(String(index)),
				service: 'desk',
				address: `10.0.0.${index}:80`,
				zone: 'a',
				slots: 6,
				isLeaving: false,
			})),
			0,
		);
		const running: Array<{endsAtMs: number; finish: (nowMs: number) => void}> =
			[];
		let hanging = 0;
		for (let nowMs = 0; nowMs < durationMs; nowMs += 5) {
			for (const run of running.filter(({endsAtMs}) => endsAtMs <= nowMs)) {
				running.splice(running.indexOf(run), 1);
				run.finish(nowMs);
			}

			const request = {
				service: 'desk',
				programId: 'p',
				excludedIds: new Set<UpstreamId>(),
			};
			const load = placement.choose(request, nowMs)!;
			placement.recordSent(load, request, nowMs);
			const attempt = load.health.begin(ROUTE, nowMs);
			const hangs = load.server.id === '0' && nowMs > 1000;
			hanging += hangs ? 1 : 0;
			running.push({
				endsAtMs: nowMs + (hangs ? 1200 : 20),
				finish(endMs) {
					if (!hangs) {
						load.health.recordChunk(attempt, endMs);
					}

					load.health.end(attempt, hangs ? 'cancelled' : 'answered', endMs);
					placement.recordEnd(load);
				},
			});
		}

		return hanging;
	};

	it('sends it only a few of 2,000 requests (failure: callers wait for a server that hangs until they time out)', () => {
		// 2,000 requests in 10 s; round-robin would send a sixth of them to the hanging server.
		expect(countHangingRequests(11_000)).toBeLessThan(25);
	});
});
