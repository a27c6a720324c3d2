#!/usr/bin/env node
/**
 * Measures the replicated log: three hosts in one process on the real file system, with messages
 * passed in memory. Usage: node packages/soak/dist/measure-consensus.js [folder]
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {ReplicaHost, StateMachine} from '@marjoramcove/consensus';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';

const COMMAND_BYTES = 256;
const RUN_MS = 4000;
const IDLE_MS = 10_000;

/** State machine that only counts the applied commands. */
class CountingMachine extends StateMachine {
	#count = 0;

	override apply() {
		this.#count += 1;
		return {result: this.#count};
	}

	override takeSnapshot() {
		return Buffer.from(String(this.#count));
	}

	override restoreSnapshot(bytes: Uint8Array) {
		this.#count = Number(Buffer.from(bytes).toString());
	}
}

const sleep = async (durationMs: number) =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, durationMs);
	});

const createGroupIds = (count: number) =>
	Array.from({length: count}, (_, group) => asId<GroupId>(`shard-${group}`));

type ThreeHostCluster = {
	hosts: Map<string, ReplicaHost>;
	/** Bytes that each host has sent and received. */
	traffic: Map<string, number>;
	stop: () => Promise<void>;
};

const startThreeHosts = async (
	root: string,
	groups: readonly GroupId[],
): Promise<ThreeHostCluster> => {
	const folder = await mkdtemp(path.join(root, 'trio-'));
	const ids = ['a', 'b', 'c'].map((name) => asId<DaemonId>(name));
	const hosts = new Map<string, ReplicaHost>();
	const traffic = new Map<string, number>();
	const count = (id: string, bytes: number) => {
		traffic.set(id, (traffic.get(id) ?? 0) + bytes);
	};

	for (const daemonId of ids) {
		const host = await ReplicaHost.open({
			daemonId,
			folder: path.join(folder, daemonId),
			send(to, batch) {
				count(daemonId, batch.length);
				count(to, batch.length);
				setImmediate(() => hosts.get(to)?.receive(daemonId, batch));
			},
		});
		hosts.set(daemonId, host);
		for (const groupId of groups) {
			await host.addGroup(
				groupId,
				new CountingMachine(),
				ids.map((id) => ({daemonId: id})),
			);
		}
	}

	return {
		hosts,
		traffic,
		async stop() {
			for (const host of hosts.values()) {
				await host.stop();
			}

			await rm(folder, {recursive: true});
		},
	};
};

const findLeader = async ({hosts}: ThreeHostCluster, groupId: GroupId) => {
	for (let attempt = 0; attempt < 1000; attempt++) {
		for (const host of hosts.values()) {
			if (host.leadership(groupId).isLeader) {
				return host;
			}
		}

		await sleep(10);
	}

	throw new Error(`${groupId} has no leader after 10 s`);
};

const measureProposals = async (
	root: string,
	groupCount: number,
	callers: number,
) => {
	const groups = createGroupIds(groupCount);
	const cluster = await startThreeHosts(root, groups);
	const leaders = await Promise.all(
		groups.map(async (groupId) => findLeader(cluster, groupId)),
	);
	const latenciesMs: number[] = [];
	const startMs = performance.now();
	const call = async (caller: number) => {
		const group = caller % groupCount;
		while (performance.now() - startMs < RUN_MS) {
			const callStartMs = performance.now();
			await leaders[group]!.propose(
				groups[group]!,
				Buffer.alloc(COMMAND_BYTES, 1),
			);
			latenciesMs.push(performance.now() - callStartMs);
		}
	};

	await Promise.all(
		Array.from({length: callers}, async (_, caller) => call(caller)),
	);
	const elapsedMs = performance.now() - startMs;
	await cluster.stop();
	latenciesMs.sort((a, b) => a - b);
	const percentile = (fraction: number) =>
		latenciesMs[Math.floor(latenciesMs.length * fraction)]!.toFixed(2);
	return {
		groups: groupCount,
		callers,
		'proposals/s': Math.round((latenciesMs.length * 1000) / elapsedMs),
		'p50 ms': percentile(0.5),
		'p99 ms': percentile(0.99),
	};
};

const collectGarbage = async () => {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	// The buffers of a previous measurement are freed only after several collections.
	for (let collection = 0; collection < 5; collection++) {
		collect();
		await sleep(50);
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

const openSingleReplica = async (folder: string, groupId: GroupId) => {
	const daemonId = asId<DaemonId>('a');
	const host = await ReplicaHost.open({
		daemonId,
		folder,
		send() {
			// There is no other replica.
		},
		snapshotEveryEntries: 1_000_000,
		snapshotEveryBytes: 1_000_000_000,
		// All entries must stay in memory.
		logMemorySizeBytes: 1_000_000_000,
	});
	await host.addGroup(groupId, new CountingMachine(), [{daemonId}]);
	return host;
};

const awaitApplied = async (host: ReplicaHost, entries: number) => {
	for (let attempt = 0; attempt < 10_000; attempt++) {
		const [status] = host.status();
		if (status!.appliedIndex >= entries && status!.role === 'leader') {
			return;
		}

		await sleep(2);
	}

	throw new Error(`${entries} entries are not applied after 20 s`);
};

/** Measures the memory per retained entry and the restart time with one replica and no snapshot. */
const measureEntries = async (root: string, entries: number) => {
	const folder = await mkdtemp(path.join(root, 'single-'));
	const [groupId] = createGroupIds(1);
	const host = await openSingleReplica(folder, groupId!);
	await awaitApplied(host, 1);
	const memoryBefore = await collectGarbage();
	for (let proposed = 0; proposed < entries; proposed += 500) {
		await Promise.all(
			Array.from({length: 500}, async () =>
				host.propose(groupId!, Buffer.alloc(COMMAND_BYTES, 1)),
			),
		);
	}

	const bytes = (await collectGarbage()) - memoryBefore;
	await host.stop();
	const startMs = performance.now();
	const restarted = await openSingleReplica(folder, groupId!);
	const openedMs = performance.now() - startMs;
	await awaitApplied(restarted, entries);
	const appliedMs = performance.now() - startMs;
	await restarted.stop();
	await rm(folder, {recursive: true});
	return {
		entries,
		'memory bytes/entry': Math.round(bytes / entries),
		'open ms': Math.round(openedMs),
		'open, elected and applied ms': Math.round(appliedMs),
	};
};

const measureIdle = async (root: string, groupCount: number) => {
	const groups = createGroupIds(groupCount);
	const cluster = await startThreeHosts(root, groups);
	for (const groupId of groups) {
		await findLeader(cluster, groupId);
	}

	await sleep(2000);
	cluster.traffic.clear();
	const cpu = process.cpuUsage();
	await sleep(IDLE_MS);
	const {user, system} = process.cpuUsage(cpu);
	const seconds = IDLE_MS / 1000;
	const busiest = Math.max(...cluster.traffic.values());
	await cluster.stop();
	return {
		groups: groupCount,
		'core share per host %': (
			((user + system) / 1e6 / seconds / 3) *
			100
		).toFixed(2),
		'bytes/s of the busiest host (both directions)': Math.round(
			busiest / seconds,
		),
	};
};

const root = process.argv[2] ?? tmpdir();
const proposals = [];
for (const [groups, callers] of [
	[1, 1],
	[1, 64],
	[4, 4],
	[4, 64],
] as const) {
	proposals.push(await measureProposals(root, groups, callers));
}

console.log(`proposals of ${COMMAND_BYTES} bytes, 3 replicas, ${root}`);
console.table(proposals);
const entries = [];
for (const count of [1000, 10_000, 50_000]) {
	entries.push(await measureEntries(root, count));
}

console.log(`entries of ${COMMAND_BYTES} bytes, 1 replica`);
console.table(entries);
const idle = [];
for (const groups of [1, 4, 8]) {
	idle.push(await measureIdle(root, groups));
}

console.log('idle, 3 replicas');
console.table(idle);
