import type {ReplicaHost} from '@marjoramcove/consensus';
import type {GroupId} from '@marjoramcove/types';
import type {Cluster} from './cluster.ts';
import type {SimulatedDaemon} from './simulated-daemon.ts';

const ATTEMPT_MS = 400;

/** A daemon that leaves the groups and the one that takes its place. */
type Order = {
	type: 'move' | 'replace';
	lost: SimulatedDaemon;
	replacement: SimulatedDaemon;
};

/** Replaces replicas whose disks were lost, like an operator with a script. */
export class RepairOperator {
	/** Called right after a repair is done. */
	onRepaired: (() => void) | undefined;
	readonly #cluster: Cluster;
	#orders: Order[] = [];

	constructor(cluster: Cluster) {
		this.#cluster = cluster;
		this.#schedule();
	}

	get isIdle(): boolean {
		return this.#orders.length === 0;
	}

	/** Orders the replacement of the replicas of a daemon that lost its disk. */
	order(lost: SimulatedDaemon, replacement: SimulatedDaemon): void {
		this.#orders.push({type: 'replace', lost, replacement});
	}

	/** Orders that a daemon joins all groups and then another one, which is alive, leaves them. */
	orderMove(leaving: SimulatedDaemon, joining: SimulatedDaemon): void {
		this.#orders.push({type: 'move', lost: leaving, replacement: joining});
	}

	/** Whether all voters of the group, as its latest leader sees them, have their disks. */
	isWhole(groupId: GroupId): boolean {
		const leader = this.#cluster.findLeader(groupId);
		const status = leader?.host
			?.status()
			.find((group) => group.groupId === groupId);
		const disks = new Set(this.#cluster.daemons.map((daemon) => daemon.diskId));
		return (
			status !== undefined &&
			status.repair === undefined &&
			status.replicas.every(
				(replica) => replica.role === 'voter' && disks.has(replica.diskId),
			)
		);
	}

	#isVoter(host: ReplicaHost, groupId: GroupId, daemon: SimulatedDaemon) {
		const status = host.status().find((group) => group.groupId === groupId);
		return status?.replicas.some(
			(replica) => replica.role === 'voter' && replica.diskId === daemon.diskId,
		);
	}

	#schedule() {
		this.#cluster.time.schedule(ATTEMPT_MS, () => {
			const hadOrders = !this.isIdle;
			for (const order of this.#orders) {
				void this.#attempt(order);
			}

			this.#orders = this.#orders.filter((order) => {
				const isDone = this.#isDone(order);
				if (isDone) {
					this.#cluster.events.note(
						order.type === 'move' ? 'moved' : 'repaired',
						`${order.lost.id} to ${order.replacement.id}`,
					);
				}

				return !isDone;
			});
			if (this.isIdle && hadOrders) {
				this.onRepaired?.();
			}

			this.#schedule();
		});
	}

	#isDone({type, lost, replacement}: Order) {
		return this.#cluster.groupIds.every((groupId) => {
			const status = this.#cluster
				.findLeader(groupId)
				?.host?.status()
				.find((group) => group.groupId === groupId);
			return (
				status !== undefined &&
				status.replicas.every(
					(replica) =>
						replica.daemonId !== lost.id ||
						(type === 'replace' && replica.diskId === lost.diskId),
				) &&
				status.replicas.some(
					(replica) =>
						replica.role === 'voter' && replica.diskId === replacement.diskId,
				)
			);
		});
	}

	async #attempt({type, lost, replacement}: Order) {
		for (const groupId of this.#cluster.groupIds) {
			const host = this.#cluster.findLeader(groupId)?.host;
			try {
				if (type === 'replace') {
					await host?.changeReplicas(groupId, {
						type,
						lostDaemonId: lost.id,
						newDaemonId: replacement.id,
					});
				} else if (host && this.#isVoter(host, groupId, replacement)) {
					await host.changeReplicas(groupId, {
						type: 'remove',
						daemonId: lost.id,
					});
				} else {
					await host?.changeReplicas(groupId, {
						type: 'add',
						daemonId: replacement.id,
					});
				}
			} catch {
				// The next attempt asks again.
				this.#cluster.events.count('repair-attempts-refused');
			}
		}
	}
}
