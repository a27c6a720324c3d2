import {MemoryFileSystem} from '@marjoramcove/storage';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ReplicaHost, StateMachine, VirtualTime} from './index.ts';

const groupId = asId<GroupId>('shard-0');
const ids = ['a', 'b', 'c'].map((name) => asId<DaemonId>(name));

class ListMachine extends StateMachine {
	items: string[] = [];

	override apply({command}: {command: Uint8Array}) {
		const item = Buffer.from(command).toString();
		this.items.push(item);
		return {result: this.items.length, appended: [Buffer.from(item)]};
	}

	override takeSnapshot() {
		return Buffer.from(JSON.stringify(this.items));
	}

	override restoreSnapshot(bytes: Uint8Array) {
		this.items = JSON.parse(Buffer.from(bytes).toString()) as string[];
	}
}

/** Three daemons in this process. */
class Trio {
	readonly hosts = new Map<DaemonId, ReplicaHost>();
	readonly machines = new Map<DaemonId, ListMachine>();
	readonly disks = new Map(ids.map((id) => [id, new MemoryFileSystem()]));
	readonly cutOff = new Set<DaemonId>();
	readonly events: string[] = [];
	readonly time = new VirtualTime();
	snapshotEveryEntries = 50;
	logMemorySizeBytes: number | undefined;
	proposalIntervalMs: number | undefined;
	sentBatches = 0;

	async start(daemonId: DaemonId) {
		const machine = new ListMachine();
		const host = await ReplicaHost.open({
			daemonId,
			folder: '/data',
			fileSystem: this.disks.get(daemonId)!.forProcess(),
			send: (to, batch) => {
				this.sentBatches++;
				if (!this.cutOff.has(daemonId) && !this.cutOff.has(to)) {
					this.hosts.get(to)?.receive(daemonId, batch);
				}
			},
			clock: this.time,
			raft: {keptEntries: 10},
			snapshotEveryEntries: this.snapshotEveryEntries,
			logMemorySizeBytes: this.logMemorySizeBytes,
			commandSizeBytes: 100,
			proposalIntervalMs: this.proposalIntervalMs,
			onEvent: (event) => {
				this.events.push(event);
			},
		});
		this.hosts.set(daemonId, host);
		this.machines.set(daemonId, machine);
		await host.addGroup(
			groupId,
			machine,
			ids.map((id) => ({daemonId: id})),
		);
		return host;
	}

	/** Lets virtual time pass until the condition holds. */
	async waitUntil(condition: string, isTrue: () => boolean) {
		const endMs = this.time.nowMs() + 10_000;
		while (!isTrue()) {
			if (this.time.nowMs() > endMs) {
				throw new Error(`still not so after 10 s: ${condition}`);
			}

			await this.time.runUntil(this.time.nowMs() + 10);
		}
	}

	/** Lets virtual time pass until the call has ended. */
	async during<Value>(call: Promise<Value>): Promise<Value> {
		let isEnded = false;
		const settle = async () => {
			try {
				await call;
			} catch {
				// The caller gets the error from the call itself.
			}

			isEnded = true;
		};

		void settle();
		await this.waitUntil('the call has ended', () => isEnded);
		return call;
	}

	async startAll() {
		for (const id of ids) {
			await this.start(id);
		}
	}

	/** Ends the process without a chance to finish anything. */
	kill(daemonId: DaemonId) {
		void this.hosts.get(daemonId)?.stop();
		this.hosts.delete(daemonId);
		this.disks.get(daemonId)!.crash();
	}

	async leader() {
		const isLeading = (host: ReplicaHost) =>
			host.leadership(groupId).isLeader && !this.cutOff.has(host.daemonId);
		await this.waitUntil('a leader is elected', () =>
			[...this.hosts.values()].some((host) => isLeading(host)),
		);
		return [...this.hosts.values()].find((host) => isLeading(host))!;
	}

	async proposeMany(count: number) {
		const leader = await this.leader();
		for (let number = 0; number < count; number++) {
			await this.during(leader.propose(groupId, Buffer.from(`${number};`)));
		}
	}

	async awaitEqual(count: number) {
		await this.waitUntil(`all have ${count} items`, () =>
			[...this.hosts.keys()].every(
				(id) => this.machines.get(id)!.items.length === count,
			),
		);
	}
}

describe('ReplicaHost', () => {
	let trio: Trio;

	beforeEach(async () => {
		trio = new Trio();
		await trio.startAll();
	});

	afterEach(async () => {
		for (const host of trio.hosts.values()) {
			await host.stop();
		}
	});

	it('keeps everything acknowledged when all processes lose power after hundreds of entries', async () => {
		await trio.proposeMany(230);
		for (const id of ids) {
			trio.kill(id);
		}

		await trio.startAll();
		await trio.leader();
		await trio.awaitEqual(230);
		const bytes = await trio.hosts.get(ids[0]!)!.readHistory(groupId, 0, 4);
		expect(Buffer.from(bytes).toString()).toBe('0;1;');
	});

	it('bounds the memory of the log and brings a replica that is hundreds of entries behind up to date (failure: logs fill the memory, or the replica waits forever)', async () => {
		for (const id of ids) {
			trio.kill(id);
		}

		trio.logMemorySizeBytes = 10_000;
		trio.snapshotEveryEntries = 1_000_000;
		await trio.startAll();
		const leader = await trio.leader();
		const behind = ids.find((id) => id !== leader.daemonId)!;
		trio.cutOff.add(behind);
		await trio.proposeMany(300);
		const kept = trio.hosts
			.get(leader.daemonId)!
			.status()
			.map(({logMemoryBytes}) => logMemoryBytes);
		expect(kept[0]).toBeLessThanOrEqual(10_000);
		trio.cutOff.delete(behind);
		await trio.proposeMany(50);
		await trio.awaitEqual(350);
	});

	it('never lets an empty disk act as the voter that was lost, and repairs the group', async () => {
		await trio.proposeMany(120);
		const leader = await trio.leader();
		const lostId = ids.find((id) => id !== leader.daemonId)!;
		const lostDisk = trio.hosts.get(lostId)!.diskId;
		trio.kill(lostId);
		trio.disks.get(lostId)!.wipe();
		const host = await trio.start(lostId);
		await trio.proposeMany(1);
		expect(host.status()[0]).toMatchObject({role: 'none', isReady: false});
		expect(host.diskId).not.toBe(lostDisk);
		// Without the old voter two of three are left: losing one more must stop the group.
		const otherId = ids.find((id) => id !== leader.daemonId && id !== lostId)!;
		trio.cutOff.add(otherId);
		await trio.waitUntil(
			'the leader steps down without a majority',
			() => !leader.leadership(groupId).isLeader,
		);
		trio.cutOff.delete(otherId);
		const change = {
			type: 'replace',
			lostDaemonId: lostId,
			newDaemonId: lostId,
		} as const;
		const present = await trio.leader();
		await trio.during(present.changeReplicas(groupId, change));
		await trio.waitUntil('the repair is done', () => {
			const [status] = present.status();
			return (
				status!.repair === undefined &&
				status!.replicas.length === 3 &&
				status!.replicas.every(
					(replica) => replica.role === 'voter' && replica.diskId !== lostDisk,
				)
			);
		});
		await trio.awaitEqual(121);
		const expected = trio.machines.get(lostId)!.items.join('');
		const history = await host.readHistory(groupId, 0, expected.length);
		expect(Buffer.from(history).toString()).toBe(expected);
	});

	it('refuses a replacement whose disk is not known', async () => {
		const leader = await trio.leader();
		await expect(
			trio.during(
				leader.changeReplicas(groupId, {
					type: 'replace',
					lostDaemonId: ids[0]!,
					newDaemonId: asId<DaemonId>('unknown'),
				}),
			),
		).rejects.toMatchObject({reason: 'disk-unknown', verdict: 'not-run'});
	});

	it('refuses to replace a daemon by itself while only its voting disk is known (failure: an operator is told that a repair has begun)', async () => {
		const leader = await trio.leader();
		// A daemon announces its disk to those that are up when it starts and hears no leader yet.
		const voterId = ids.find((id) => id !== leader.daemonId)!;
		trio.kill(voterId);
		await trio.start(voterId);
		await trio.proposeMany(1);
		await trio.awaitEqual(1);
		await expect(
			trio.during(
				leader.changeReplicas(groupId, {
					type: 'replace',
					lostDaemonId: voterId,
					newDaemonId: voterId,
				}),
			),
		).rejects.toMatchObject({reason: 'nothing-to-replace', verdict: 'not-run'});
	});

	it('reports proposals as not run at a follower and as unknown after a lost leadership', async () => {
		const leader = await trio.leader();
		const follower = [...trio.hosts.values()].find((host) => host !== leader)!;
		await expect(
			trio.during(follower.propose(groupId, Buffer.from('x'))),
		).rejects.toMatchObject({reason: 'not-leader', verdict: 'not-run'});
		trio.cutOff.add(leader.daemonId);
		await expect(
			trio.during(leader.propose(groupId, Buffer.from('x'))),
		).rejects.toMatchObject({
			reason: 'commit-unknown',
			verdict: 'may-have-run',
		});
	});

	it('refuses a read barrier at a leader that was cut off', async () => {
		const leader = await trio.leader();
		await trio.during(leader.readBarrier(groupId));
		trio.cutOff.add(leader.daemonId);
		await expect(
			trio.during(leader.readBarrier(groupId)),
		).rejects.toMatchObject({
			reason: 'not-leader',
		});
	});

	it('gives the leadership away when its disk is full, and takes part again when there is space', async () => {
		await trio.proposeMany(3);
		const leader = await trio.leader();
		const disk = trio.disks.get(leader.daemonId)!;
		disk.capacityBytes = disk.usedBytes;
		await expect(
			trio.during(leader.propose(groupId, Buffer.from('x'))),
		).rejects.toMatchObject({verdict: 'may-have-run'});
		await trio.waitUntil('it reports not-ready', () => !leader.isReady);
		const next = await trio.leader();
		expect(next).not.toBe(leader);
		await trio.during(next.propose(groupId, Buffer.from('y')));
		disk.capacityBytes = Number.POSITIVE_INFINITY;
		await trio.waitUntil('it is ready again', () => leader.isReady);
		await trio.waitUntil('all have the acknowledged items', () =>
			[...trio.machines.values()].every(
				({items}) =>
					items.slice(0, 3).join('') === '0;1;2;' && items.includes('y'),
			),
		);
	});

	it('hands its leaderships over when it drains', async () => {
		const leader = await trio.leader();
		await trio.during(leader.drain());
		expect(leader.leadership(groupId).isLeader).toBe(false);
		expect(await trio.leader()).not.toBe(leader);
	});

	it('tells listeners about a new leader', async () => {
		const leader = await trio.leader();
		const seen: boolean[] = [];
		const other = [...trio.hosts.values()].find((host) => host !== leader)!;
		other.onLeadershipChange((_, {leaderId}) => {
			seen.push(leaderId === leader.daemonId);
		});
		trio.kill(leader.daemonId);
		await trio.leader();
		await trio.waitUntil('the listener was called', () => seen.includes(false));
	});

	describe('with an interval between proposals', () => {
		const startTrio = async (proposalIntervalMs: number) => {
			const own = new Trio();
			own.proposalIntervalMs = proposalIntervalMs;
			await own.startAll();
			return {own, leader: await own.leader()};
		};

		const stopTrio = async ({hosts}: Trio) => {
			for (const host of hosts.values()) {
				await host.stop();
			}
		};

		it('lets proposals under load share messages, in their order (failure: each proposal takes a round of its own)', async () => {
			const {own, leader} = await startTrio(6);
			const before = own.sentBatches;
			const outcomes: Array<Promise<unknown>> = [];
			for (let index = 0; index < 60; index++) {
				outcomes.push(leader.propose(groupId, Buffer.from(`${index}`)));
				await own.time.runUntil(own.time.nowMs() + 1);
			}

			await own.during(Promise.all(outcomes));
			expect(own.machines.get(leader.daemonId)!.items).toEqual(
				outcomes.map((_, index) => `${index}`),
			);
			// Each round takes two batches and two answers.
			expect(own.sentBatches - before).toBeLessThan(60);
			await stopTrio(own);
		});

		it('does not delay a proposal that comes alone', async () => {
			const {own, leader} = await startTrio(1000);
			await own.time.runUntil(own.time.nowMs() + 2000);
			const startedAtMs = own.time.nowMs();
			await own.during(leader.propose(groupId, Buffer.from('one')));
			expect(own.time.nowMs() - startedAtMs).toBeLessThan(1000);
			await stopTrio(own);
		});
	});

	it('drops a damaged batch and a command that is too large', async () => {
		const leader = await trio.leader();
		leader.receive(ids[0]!, Buffer.from('no batch'));
		expect(trio.events).toContain('message-rejected');
		await expect(
			trio.during(leader.propose(groupId, new Uint8Array(101))),
		).rejects.toMatchObject({reason: 'command-too-large', verdict: 'not-run'});
	});
});
