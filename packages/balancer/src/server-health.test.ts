import {asId, type UpstreamId} from '@marjoramcove/types';
import {beforeEach, describe, expect, it} from 'vitest';
import {Placement} from './placement.ts';
import {ServerHealth, type UsualTimes} from './server-health.ts';
import {TypicalTimes} from './typical-times.ts';

const ROUTE = {route: 'look-up'};

const answer = (health: ServerHealth, atMs: number, takesMs: number) => {
	const attempt = health.begin(ROUTE, atMs);
	health.notePiece(attempt, atMs + takesMs);
	health.end(attempt, 'answered', atMs + takesMs);
};

const stream = (health: ServerHealth, atMs: number, pauseMs: number) => {
	const attempt = health.begin({route: 'chat', streams: 'models'}, atMs);
	for (let piece = 1; piece <= 5; piece++) {
		health.notePiece(attempt, atMs + piece * pauseMs);
	}

	health.end(attempt, 'answered', atMs + 5 * pauseMs);
};

describe('ServerHealth', () => {
	let usual: UsualTimes;
	let health: ServerHealth;
	let other: ServerHealth;

	beforeEach(() => {
		usual = {
			firstPiece: new TypicalTimes(),
			whole: new TypicalTimes(),
			pause: new TypicalTimes(),
		};
		health = new ServerHealth(usual);
		other = new ServerHealth(usual);
		for (let atMs = 0; atMs < 1000; atMs += 50) {
			answer(other, atMs, 20);
			stream(other, atMs, 10);
		}
	});

	describe('of a server that keeps silent', () => {
		it('avoids it while the request waits (failure: more requests follow into a hanging server)', () => {
			health.begin(ROUTE, 1000);
			expect(health.isAvoided(1299)).toBe(false);
			expect(health.isAvoided(1300)).toBe(true);
		});

		it('takes it back with the first piece', () => {
			const attempt = health.begin(ROUTE, 1000);
			health.notePiece(attempt, 1400);
			expect(health.isAvoided(1401)).toBe(false);
		});

		it('avoids it after the request was cancelled, longer each time', () => {
			const first = health.begin(ROUTE, 1000);
			expect(health.end(first, 'cancelled', 2000)).toBe(1000);
			expect(health.isAvoided(2999)).toBe(true);
			expect(health.isAvoided(3000)).toBe(false);
			const second = health.begin(ROUTE, 3000);
			expect(health.end(second, 'cancelled', 4000)).toBe(2000);
			const late = health.begin(ROUTE, 20_000);
			expect(health.end(late, 'cancelled', 21_000)).toBe(1000);
		});

		it('does not count a caller that leaves soon', () => {
			const attempt = health.begin(ROUTE, 1000);
			expect(health.end(attempt, 'cancelled', 1200)).toBe(0);
		});

		it('knows no silence on a route that never answered (failure: a route with a short time limit blocks its servers)', () => {
			const attempt = health.begin({route: 'new'}, 1000);
			expect(health.isAvoided(9000)).toBe(false);
			expect(health.end(attempt, 'cancelled', 9000)).toBe(0);
		});
	});

	describe('of a server that answers with errors', () => {
		it('bears single ones and avoids it when a third of the answers are', () => {
			const fail = (atMs: number) =>
				health.end(health.begin(ROUTE, atMs), 'error', atMs + 5);
			expect(fail(1000)).toBe(0);
			answer(health, 1010, 20);
			expect(fail(1040)).toBeGreaterThan(0);
		});

		it('does not add up errors with many answers between', () => {
			for (let atMs = 1000; atMs < 9000; atMs += 500) {
				expect(health.end(health.begin(ROUTE, atMs), 'error', atMs + 5)).toBe(
					0,
				);
				for (let more = 1; more <= 10; more++) {
					answer(health, atMs + more * 20, 20);
				}
			}
		});
	});

	describe('of a slow server', () => {
		it('tells how much longer a stream takes there than elsewhere', () => {
			expect(health.slowdownMs(1000)).toBe(0);
			stream(health, 1000, 60);
			stream(health, 1300, 60);
			expect(health.slowdownMs(1600)).toBeGreaterThan(50);
			expect(other.slowdownMs(1600)).toBe(0);
		});

		it('forgets it, so that the server is tried again (failure: it is never used again)', () => {
			stream(health, 1000, 60);
			stream(health, 1300, 60);
			expect(health.slowdownMs(12_000)).toBe(0);
		});

		it('does not call a long answer of few pieces slow', () => {
			const attempt = health.begin({route: 'chat', streams: 'models'}, 1000);
			health.notePiece(attempt, 1400);
			health.end(attempt, 'answered', 1400);
			expect(health.slowdownMs(1400)).toBe(0);
		});
	});
});

describe('Placement with a server that hangs', () => {
	/** Sends a look-up every 5 ms; server 0 answers none, the others after 20 ms. */
	const play = (durationMs: number): number => {
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
		);
		const running: Array<{endsAtMs: number; finish: (nowMs: number) => void}> =
			[];
		let lost = 0;
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
			placement.noteSent(load, request, nowMs);
			const attempt = load.health.begin(ROUTE, nowMs);
			const hangs = load.server.id === '0' && nowMs > 1000;
			lost += hangs ? 1 : 0;
			running.push({
				endsAtMs: nowMs + (hangs ? 1200 : 20),
				finish(endMs) {
					if (!hangs) {
						load.health.notePiece(attempt, endMs);
					}

					load.health.end(attempt, hangs ? 'cancelled' : 'answered', endMs);
					placement.noteEnd(load);
				},
			});
		}

		return lost;
	};

	it('sends it no more than a few of 2,000 requests (failure: callers wait for a server that hangs until their time is over)', () => {
		// 2,000 requests in ten seconds; a sixth of them would go there by turns.
		expect(play(11_000)).toBeLessThan(25);
	});
});
