import {type AffinityKey, asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {AffinityRanking} from './affinity-ranking.ts';
import {Placement} from './placement.ts';
import type {ServerLoad} from './server-table.ts';

const SLOTS = 6;

/** Time that a simulated server needs for an object that it has not handled recently. */
const WORK_MS = 52;

/** Time for which a simulated server is faster at an object. */
const MEMORY_MS = 10_000;

const createPlacement = (count: number, random = () => 0.5) => {
	const placement = new Placement({zone: 'a', random});
	placement.replaceServers(
		Array.from({length: count}, (_, index) => ({
			id: asId<UpstreamId>(`s${index + 1}`),
			service: 'desk',
			address: `10.0.0.1:${index}`,
			zone: 'a',
			slots: SLOTS,
			isLeaving: false,
		})),
		0,
	);
	return placement;
};

const keys = Array.from({length: 4000}, (_, index) =>
	asId<AffinityKey>(String(index)),
);

const firstServers = (servers: readonly ServerLoad[]) =>
	keys.map((key) => {
		const ranking = new AffinityRanking(key, servers);
		return servers.find((load) => ranking.coldShare(load) === 0)!.server.id;
	});

describe('AffinityRanking', () => {
	it('is the same for daemons that list the servers in another order', () => {
		const {servers} = createPlacement(11);
		expect(firstServers(servers.toReversed())).toEqual(firstServers(servers));
	});

	it('spreads the objects evenly', () => {
		const {servers} = createPlacement(11);
		const counts = new Map<string, number>();
		for (const id of firstServers(servers)) {
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		expect(Math.max(...counts.values())).toBeLessThan((1.3 * 4000) / 11);
	});

	it('moves only the objects of a server that leaves', () => {
		const {servers} = createPlacement(11);
		const before = firstServers(servers);
		const after = firstServers(servers.slice(1));
		const moved = before.filter((id, index) => id !== after[index]);
		expect(new Set(moved)).toEqual(new Set([servers[0]!.server.id]));
	});
});

type Job = {key: AffinityKey; arrivedAtMs: number};

/** A server that works twice as fast on objects that it has handled in the last ten seconds. */
class SimulatedServer {
	readonly #freeAtMs = Array.from({length: SLOTS}, () => 0);
	readonly #handledAtMs = new Map<AffinityKey, number>();

	/** Runs a job in the slot that is free first and returns the time of its end. */
	run({key, arrivedAtMs}: Job): number {
		const slot = this.#freeAtMs.indexOf(Math.min(...this.#freeAtMs));
		const startMs = Math.max(arrivedAtMs, this.#freeAtMs[slot]!);
		const handledAtMs = this.#handledAtMs.get(key) ?? Number.NEGATIVE_INFINITY;
		const isWarm = arrivedAtMs - handledAtMs < MEMORY_MS;
		const endMs = startMs + WORK_MS * (isWarm ? 0.5 : 1);
		this.#freeAtMs[slot] = endMs;
		this.#handledAtMs.set(key, endMs);
		return endMs;
	}
}

/** Plays the jobs through the placement of one daemon and returns the latencies. */
const play = (jobs: Job[], serverCount: number, usesAffinity: boolean) => {
	let seed = 7;
	const random = () => {
		seed = (seed * 48_271) % 2_147_483_647;
		return seed / 2_147_483_647;
	};

	const placement = createPlacement(serverCount, random);
	const servers = new Map(
		placement.servers.map(({server}) => [server.id, new SimulatedServer()]),
	);
	const running: Array<{endMs: number; load: ServerLoad}> = [];
	return jobs.map((job) => {
		for (const entry of running.filter(({endMs}) => endMs <= job.arrivedAtMs)) {
			running.splice(running.indexOf(entry), 1);
			placement.recordEnd(entry.load);
		}

		const request = {
			service: 'desk',
			programId: '',
			affinityKey: usesAffinity ? job.key : undefined,
			excludedIds: new Set<UpstreamId>(),
		};
		const load = placement.choose(request, job.arrivedAtMs)!;
		placement.recordSent(load, request, job.arrivedAtMs);
		const endMs = servers.get(load.server.id)!.run(job);
		running.push({endMs, load});
		return endMs - job.arrivedAtMs;
	});
};

const mean = (values: number[]) =>
	values.reduce((sum, value) => sum + value, 0) / values.length;

describe('placement by affinity', () => {
	it('answers requests for recurring objects faster', () => {
		// Guards against objects that are spread over all servers and are warm on none.
		const jobs = Array.from({length: 6000}, (_, index) => ({
			key: keys[(index * 37) % 1600]!,
			arrivedAtMs: index * 5,
		}));
		const withAffinity = mean(play(jobs, 3, true));
		const without = mean(play(jobs, 3, false));
		expect(withAffinity).toBeLessThan(0.8 * without);
	});

	it('costs requests for objects that are seen once next to nothing', () => {
		// Guards against a busy server that is preferred for an object that it does not know.
		const jobs = Array.from({length: 4000}, (_, index) => ({
			key: keys[index]!,
			arrivedAtMs: index * 5,
		}));
		const withAffinity = mean(play(jobs, 3, true));
		const without = mean(play(jobs, 3, false));
		expect(withAffinity).toBeLessThan(1.05 * without);
	});

	it('uses further servers for an object that outgrows its first server', () => {
		// Guards against a queue at one server while the others are idle: 400 requests per second need 10 slots.
		const jobs = Array.from({length: 4000}, (_, index) => ({
			key: keys[0]!,
			arrivedAtMs: index * 2.5,
		}));
		const latencies = play(jobs, 3, true);
		expect(Math.max(...latencies.slice(500))).toBeLessThan(2 * WORK_MS);
	});
});
