import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {ReplicaHost, StateMachine} from './index.ts';

class Counter extends StateMachine {
	value = 0;

	override apply({command}: {command: Uint8Array}) {
		this.value += Number(Buffer.from(command).toString());
		return {result: this.value};
	}

	override takeSnapshot() {
		return Buffer.from(String(this.value));
	}

	override restoreSnapshot(bytes: Uint8Array) {
		this.value = Number(Buffer.from(bytes).toString());
	}
}

const waitUntil = async (isTrue: () => boolean) => {
	for (let attempt = 0; attempt < 1000 && !isTrue(); attempt++) {
		await new Promise((resolve) => {
			setTimeout(resolve, 10);
		});
	}

	expect(isTrue()).toBe(true);
};

describe('the example of the README', () => {
	it('replicates a counter over three hosts in one process', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'counter-'));
		const groupId = asId<GroupId>('counter');
		const ids = ['a', 'b', 'c'].map((name) => asId<DaemonId>(name));
		const hosts = new Map<DaemonId, ReplicaHost>();
		const counters = new Map<DaemonId, Counter>();
		for (const daemonId of ids) {
			const host = await ReplicaHost.open({
				daemonId,
				folder: path.join(folder, daemonId),
				send(to, batch) {
					hosts.get(to)?.receive(daemonId, batch);
				},
			});
			hosts.set(daemonId, host);
			counters.set(daemonId, new Counter());
			await host.addGroup(
				groupId,
				counters.get(daemonId)!,
				ids.map((id) => ({daemonId: id})),
			);
		}

		const findLeader = () =>
			[...hosts.values()].find((host) => host.leadership(groupId).isLeader);
		await waitUntil(() => findLeader() !== undefined);
		const leader = findLeader()!;
		await leader.propose(groupId, Buffer.from('2'));
		const {result} = await leader.propose(groupId, Buffer.from('3'));
		expect(result).toBe(5);
		await leader.readBarrier(groupId);
		expect(counters.get(leader.daemonId)!.value).toBe(5);
		await waitUntil(() =>
			[...counters.values()].every((counter) => counter.value === 5),
		);
		for (const host of hosts.values()) {
			await host.stop();
		}

		await rm(folder, {recursive: true});
	});
});
