import type {GroupId} from '@marjoramcove/types';
import type {Cluster} from './cluster.ts';
import type {SimulatedDaemon} from './simulated-daemon.ts';

const ATTEMPT_MS = 400;

/** Replaces replicas whose disks were lost, like an operator with a script. */
export class RepairOperator {
	/** Called right after a repair is done. */
	onRepaired: (() => void) | undefined;
	readonly #cluster: Cluster;
	/** Lost daemon and the daemon that takes its place. */
	#orders: Array<{lost: SimulatedDaemon; replacement: SimulatedDaemon}> = [];

	constructor(cluster: Cluster) {
		this.#cluster = cluster;
		this.#schedule();
	}

	get isIdle(): boolean {
		return this.#orders.length === 0;
	}

	/** Orders the replacement of the replicas of a daemon that lost its disk. */
	order(lost: SimulatedDaemon, replacement: SimulatedDaemon): void {
		this.#orders.push({lost, replacement});
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

	#schedule() {
		this.#cluster.time.schedule(ATTEMPT_MS, () => {
			const hadOrders = !this.isIdle;
			for (const order of this.#orders) {
				void this.#replaceAll(order.lost, order.replacement);
			}

			this.#orders = this.#orders.filter(({lost, replacement}) => {
				const isDone = this.#isReplaced(lost, replacement);
				if (isDone) {
					this.#cluster.events.note(
						'repaired',
						`${lost.id} by ${replacement.id}`,
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

	#isReplaced(lost: SimulatedDaemon, replacement: SimulatedDaemon) {
		return this.#cluster.groupIds.every((groupId) => {
			const status = this.#cluster
				.findLeader(groupId)
				?.host?.status()
				.find((group) => group.groupId === groupId);
			return (
				status !== undefined &&
				status.replicas.every(
					(replica) =>
						replica.daemonId !== lost.id || replica.diskId === lost.diskId,
				) &&
				status.replicas.some(
					(replica) =>
						replica.role === 'voter' && replica.diskId === replacement.diskId,
				)
			);
		});
	}

	async #replaceAll(lost: SimulatedDaemon, replacement: SimulatedDaemon) {
		for (const groupId of this.#cluster.groupIds) {
			try {
				await this.#cluster.findLeader(groupId)?.host?.changeReplicas(groupId, {
					type: 'replace',
					lostDaemonId: lost.id,
					newDaemonId: replacement.id,
				});
			} catch {
				// The next attempt asks again.
				this.#cluster.events.count('repair-attempts-refused');
			}
		}
	}
}
