import type {Cluster} from './cluster.ts';
import type {RepairOperator} from './repair-operator.ts';
import type {SimulatedDaemon} from './simulated-daemon.ts';
import {RELIABLE_NETWORK} from './simulated-network.ts';

/** Injects random faults, several of which can be active at the same time. */
export class Nemesis {
	readonly #cluster: Cluster;
	readonly #operator: RepairOperator;
	readonly #faults: Array<() => void>;
	#spare: SimulatedDaemon;
	#isHealed = false;

	constructor(cluster: Cluster, operator: RepairOperator) {
		this.#cluster = cluster;
		this.#operator = operator;
		this.#spare = cluster.daemons.at(-1)!;
		operator.onRepaired = () => {
			if (!this.#isHealed && cluster.random.chance(0.5)) {
				cluster.events.record('disk-loss-after-repair');
				this.#loseDisk();
			}
		};

		this.#faults = [
			this.#disturbNetwork,
			this.#partition,
			this.#partition,
			this.#kill,
			this.#crash,
			this.#crash,
			this.#crashAll,
			this.#freeze,
			this.#fillDisk,
			this.#failSync,
			this.#slowDisk,
			this.#changeClock,
			this.#loseDisk,
			this.#drain,
			this.#disturbElection,
			this.#disturbElection,
			this.#move,
		].map((fault) => fault.bind(this));
	}

	/** Injects one random fault. */
	injectFault(): void {
		this.#cluster.random.pick(this.#faults)();
	}

	/** Ends all faults except lost disks, whose repair continues. */
	heal(): void {
		const {network, daemons, time, random} = this.#cluster;
		this.#isHealed = true;
		network.conditions = RELIABLE_NETWORK;
		network.blocked.clear();
		for (const daemon of daemons) {
			daemon.disk.capacityBytes = Number.POSITIVE_INFINITY;
			daemon.disk.clearFailures();
			daemon.maxSyncMs = 4;
			if (daemon.isFrozen) {
				daemon.unfreeze();
			}

			time.schedule(random.uniform() * 100, () => {
				if (!daemon.isRunning) {
					void daemon.start();
				}
			});
		}
	}

	#pickDaemon() {
		return this.#cluster.random.pick(this.#cluster.daemons);
	}

	#disturbNetwork() {
		const {random, network, events} = this.#cluster;
		network.conditions = random.chance(0.3)
			? RELIABLE_NETWORK
			: {
					lossProbability: random.uniform() * 0.3,
					duplicateProbability: random.uniform() * 0.3,
					longDelayProbability: random.uniform() * 0.3,
					longDelayMs: random.pick([20, 200, 3000]),
				};
		events.record('network-change', JSON.stringify(network.conditions));
	}

	#partition() {
		const {random, network, daemons, events, time} = this.#cluster;
		const isolated = random.chance(0.5)
			? [this.#pickDaemon()]
			: daemons.filter(() => random.chance(0.5));
		const direction = random.pick(['both', 'from', 'to']);
		const blocked: string[] = [];
		for (const inside of isolated) {
			for (const outside of daemons) {
				if (!isolated.includes(outside)) {
					if (direction !== 'to') {
						blocked.push(`${inside.id}>${outside.id}`);
					}

					if (direction !== 'from') {
						blocked.push(`${outside.id}>${inside.id}`);
					}
				}
			}
		}

		for (const link of blocked) {
			network.blocked.add(link);
		}

		events.record(
			`partition-${direction === 'both' ? 'two-way' : 'one-way'}`,
			blocked.join(' '),
		);
		time.schedule(500 + random.uniform() * 6000, () => {
			for (const link of blocked) {
				network.blocked.delete(link);
			}
		});
	}

	#kill() {
		const daemon = this.#pickDaemon();
		this.#cluster.events.record('kill', daemon.id);
		daemon.kill();
		this.#cluster.restartLater(daemon, this.#drawRestartDelay());
	}

	#crash() {
		const {random, events} = this.#cluster;
		const daemon = this.#pickDaemon();
		const isTorn = random.chance(0.5);
		events.record(
			isTorn ? 'crash-torn-tail' : 'crash-unsynced-lost',
			daemon.id,
		);
		daemon.crash(isTorn);
		this.#cluster.restartLater(daemon, this.#drawRestartDelay());
	}

	#crashAll() {
		const {random, events, daemons} = this.#cluster;
		events.record('crash-all');
		for (const daemon of daemons) {
			daemon.crash(random.chance(0.5));
			this.#cluster.restartLater(daemon, this.#drawRestartDelay());
		}
	}

	#freeze() {
		const {random, events, time} = this.#cluster;
		const daemon = this.#pickDaemon();
		const durationMs = random.pick([300, 2500, 6000]);
		events.record('freeze', `${daemon.id} for ${durationMs} ms`);
		daemon.freeze();
		time.schedule(durationMs, () => {
			if (daemon.isFrozen) {
				daemon.unfreeze();
			}
		});
	}

	#fillDisk() {
		const {random, events, time} = this.#cluster;
		const {disk, id} = this.#pickDaemon();
		disk.capacityBytes = disk.usedBytes + random.integer(0, 2000);
		events.record('disk-full', id);
		time.schedule(1000 + random.uniform() * 4000, () => {
			disk.capacityBytes = Number.POSITIVE_INFINITY;
		});
	}

	#failSync() {
		const daemon = this.#pickDaemon();
		this.#cluster.events.record('sync-error', daemon.id);
		daemon.disk.failNext('sync');
	}

	#slowDisk() {
		const {random, events} = this.#cluster;
		const daemon = this.#pickDaemon();
		daemon.maxSyncMs = random.pick([0, 4, 40, 300]);
		events.record('sync-time', `${daemon.id} up to ${daemon.maxSyncMs} ms`);
	}

	#changeClock() {
		const daemon = this.#pickDaemon();
		// The rates of two clocks differ by at most 1%, see MAX_CLOCK_DRIFT.
		daemon.setClockRate(0.995 + this.#cluster.random.uniform() * 0.01);
		this.#cluster.events.record(
			'clock-rate',
			`${daemon.id} ${daemon.clockRate.toFixed(4)}`,
		);
	}

	#drain() {
		const {events, time} = this.#cluster;
		const daemon = this.#pickDaemon();
		if (daemon.host && !daemon.isFrozen) {
			events.record('drain', daemon.id);
			void daemon.host.drain();
			time.schedule(this.#drawRestartDelay(), () => {
				if (!this.#isHealed) {
					daemon.kill();
					this.#cluster.restartLater(daemon, 10);
				}
			});
		}
	}

	/** Loses one disk or a minority of the disks, unless an earlier loss is still being repaired. */
	#loseDisk() {
		const {groupIds, daemons, random, events} = this.#cluster;
		const isSafe =
			this.#operator.isIdle &&
			groupIds.every((groupId) => this.#operator.isFullyReplicated(groupId));
		if (!isSafe) {
			return;
		}

		const voters = daemons.filter((daemon) => daemon !== this.#spare);
		const maxLost = Math.floor((voters.length - 1) / 2);
		const count = random.integer(1, maxLost);
		for (let lost = 0; lost < count; lost++) {
			const daemon = random.pick(voters);
			voters.splice(voters.indexOf(daemon), 1);
			events.record('disk-lost', daemon.id);
			daemon.loseDisk();
			this.#replace(daemon);
		}
	}

	/** Moves the replicas of a live daemon, possibly the leader, to the spare daemon. */
	#move() {
		const {daemons, random, events} = this.#cluster;
		const joining = this.#spare;
		if (this.#operator.isIdle && joining.diskId) {
			const leaving = random.pick(
				daemons.filter((daemon) => daemon !== joining),
			);
			events.record('move', `${leaving.id} to ${joining.id}`);
			this.#spare = leaving;
			this.#operator.requestMove(leaving, joining);
		}
	}

	#replace(lost: SimulatedDaemon) {
		const {random} = this.#cluster;
		if (random.chance(0.5) && this.#spare.diskId) {
			const replacement = this.#spare;
			this.#spare = lost;
			this.#operator.requestReplacement(lost, replacement);
		} else {
			this.#operator.requestReplacement(lost, lost);
		}

		this.#cluster.restartLater(lost, this.#drawRestartDelay());
	}

	/**
	 * Forces an election among replicas with slow disks. A partition leaves only one daemon, the hub,
	 * connected to all others. The hub may crash shortly after it was asked for its vote.
	 */
	#disturbElection() {
		const {random, network, daemons, events, time} = this.#cluster;
		const hub = this.#pickDaemon();
		events.record('election-disturbed', `hub ${hub.id}`);
		const sides = new Map(
			daemons.map((daemon) => [daemon, random.chance(0.5)]),
		);
		const blocked: string[] = [];
		for (const from of daemons) {
			from.maxSyncMs = 300;
			for (const to of daemons) {
				if (from !== hub && to !== hub && sides.get(from) !== sides.get(to)) {
					blocked.push(`${from.id}>${to.id}`);
					network.blocked.add(`${from.id}>${to.id}`);
				}
			}
		}

		for (const groupId of this.#cluster.groupIds) {
			const leader = this.#cluster.findLeader(groupId);
			leader?.kill();
			if (leader) {
				this.#cluster.restartLater(leader, 20);
			}
		}

		// Without the crash, two candidates may ask the slow hub for its vote in the same term.
		if (random.chance(0.5)) {
			this.#crashAfterVote(hub, time.nowMs() + 4000);
		}

		time.schedule(6000, () => {
			for (const link of blocked) {
				network.blocked.delete(link);
			}

			for (const daemon of daemons) {
				daemon.maxSyncMs = 4;
			}
		});
	}

	/**
	 * Waits for a candidate, crashes the hub up to 40 ms later and blocks all messages between the
	 * two.
	 */
	#crashAfterVote(hub: SimulatedDaemon, deadlineMs: number) {
		const {daemons, time, random, network} = this.#cluster;
		if (this.#isHealed || time.nowMs() > deadlineMs) {
			return;
		}

		const candidate = daemons.find(
			(daemon) =>
				daemon !== hub &&
				daemon.host?.status().some((group) => group.role === 'candidate'),
		);
		if (!candidate) {
			time.schedule(2, () => {
				this.#crashAfterVote(hub, deadlineMs);
			});
			return;
		}

		time.schedule(random.uniform() * 40, () => {
			if (!this.#isHealed) {
				hub.crash(false);
				this.#cluster.restartLater(hub, 5);
				const blocked = [
					`${hub.id}>${candidate.id}`,
					`${candidate.id}>${hub.id}`,
				];
				for (const link of blocked) {
					network.blocked.add(link);
				}

				time.schedule(4000, () => {
					for (const link of blocked) {
						network.blocked.delete(link);
					}
				});
			}
		});
	}

	#drawRestartDelay() {
		const {random} = this.#cluster;
		return random.chance(0.5) ? random.uniform() * 50 : random.uniform() * 4000;
	}
}
