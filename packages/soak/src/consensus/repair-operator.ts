import type {ReplicaHost} from '@marjoramcove/consensus';
import type {GroupId} from '@marjoramcove/types';
import type {Cluster} from './cluster.ts';
import type {SimulatedDaemon} from './simulated-daemon.ts';

const ATTEMPT_INTERVAL_MS = 400;

/** Replaces the replicas of one daemon by replicas on another one. */
type RepairTask = {
	type: 'move' | 'replace';
	outgoing: SimulatedDaemon;
	replacement: SimulatedDaemon;
};

/**
 * Replaces replicas whose disks were lost and moves replicas, retrying like the script of an
 * operator.
 */
export class RepairOperator {
	/** Called as soon as all tasks are done. */
	onRepaired: (() => void) | undefined;
	readonly #cluster: Cluster;
	#tasks: RepairTask[] = [];

	constructor(cluster: Cluster) {
		this.#cluster = cluster;
		this.#schedule();
	}

	get isIdle(): boolean {
		return this.#tasks.length === 0;
	}

	/** Replaces the replicas of a daemon that lost its disk. */
	requestReplacement(
		lost: SimulatedDaemon,
		replacement: SimulatedDaemon,
	): void {
		this.#tasks.push({type: 'replace', outgoing: lost, replacement});
	}

	/** Adds a daemon to all groups and then removes another one, which is alive, from them. */
	requestMove(leaving: SimulatedDaemon, joining: SimulatedDaemon): void {
		this.#tasks.push({type: 'move', outgoing: leaving, replacement: joining});
	}

	/**
	 * Whether all replicas of the group are voters with their current disks and no repair is in
	 * progress, according to the latest leader.
	 */
	isFullyReplicated(groupId: GroupId): boolean {
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
		this.#cluster.time.schedule(ATTEMPT_INTERVAL_MS, () => {
			const hadTasks = !this.isIdle;
			for (const task of this.#tasks) {
				void this.#attempt(task);
			}

			this.#tasks = this.#tasks.filter((task) => {
				const isDone = this.#isDone(task);
				if (isDone) {
					this.#cluster.events.record(
						task.type === 'move' ? 'moved' : 'repaired',
						`${task.outgoing.id} to ${task.replacement.id}`,
					);
				}

				return !isDone;
			});
			if (this.isIdle && hadTasks) {
				this.onRepaired?.();
			}

			this.#schedule();
		});
	}

	#isDone({type, outgoing, replacement}: RepairTask) {
		return this.#cluster.groupIds.every((groupId) => {
			const status = this.#cluster
				.findLeader(groupId)
				?.host?.status()
				.find((group) => group.groupId === groupId);
			return (
				status !== undefined &&
				status.replicas.every(
					(replica) =>
						replica.daemonId !== outgoing.id ||
						(type === 'replace' && replica.diskId === outgoing.diskId),
				) &&
				status.replicas.some(
					(replica) =>
						replica.role === 'voter' && replica.diskId === replacement.diskId,
				)
			);
		});
	}

	async #attempt({type, outgoing, replacement}: RepairTask) {
		for (const groupId of this.#cluster.groupIds) {
			const host = this.#cluster.findLeader(groupId)?.host;
			try {
				if (type === 'replace') {
					await host?.changeReplicas(groupId, {
						type,
						lostDaemonId: outgoing.id,
						newDaemonId: replacement.id,
					});
				} else if (host && this.#isVoter(host, groupId, replacement)) {
					await host.changeReplicas(groupId, {
						type: 'remove',
						daemonId: outgoing.id,
					});
				} else {
					await host?.changeReplicas(groupId, {
						type: 'add',
						daemonId: replacement.id,
					});
				}
			} catch {
				// The next attempt tries again.
				this.#cluster.events.count('repair-attempts-refused');
			}
		}
	}
}
