import {
	DataCorruptionError,
	InvariantViolationError,
	MarjoramcoveError,
} from '@marjoramcove/errors';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import type {RandomSource} from '../random-source.ts';
import {VirtualTime} from '@marjoramcove/consensus';
import {EventLog} from './event-log.ts';
import {CONSENSUS_FAULTS} from './faults.ts';
import {SimulatedDaemon} from './simulated-daemon.ts';
import {SimulatedNetwork} from './simulated-network.ts';

/** Whether an injected disk fault explains the error. */
const isExpectedFailure = (error: unknown): boolean => {
	if (
		error instanceof InvariantViolationError ||
		error instanceof DataCorruptionError
	) {
		return false;
	}

	const {code} = error as {code?: unknown};
	return (
		code === 'ENOSPC' ||
		code === 'EIO' ||
		(error instanceof MarjoramcoveError && error.reason === 'log-failed')
	);
};

/** Daemons, network and time of one round. */
export class Cluster {
	readonly time = new VirtualTime();
	readonly events = new EventLog(this.time);
	readonly network: SimulatedNetwork;
	readonly groupIds: readonly GroupId[];
	readonly daemons: SimulatedDaemon[] = [];
	readonly #random: RandomSource;
	/** Disk id of the leader, by group and term. */
	readonly #leaders = new Map<string, string>();

	constructor(
		random: RandomSource,
		shape: {voters: number; groups: number},
		fault: string | undefined,
	) {
		this.#random = random;
		this.groupIds = Array.from({length: shape.groups}, (_, group) =>
			asId<GroupId>(`shard-${group}`),
		);
		this.network = new SimulatedNetwork(
			this.time,
			random,
			(from, to, bytes) => {
				this.#findDaemon(to)?.receive(from, bytes);
			},
		);
		const ids = Array.from({length: shape.voters + 1}, (_, number) =>
			asId<DaemonId>(`d${number + 1}`),
		);
		for (const id of ids) {
			this.daemons.push(
				new SimulatedDaemon(id, {
					time: this.time,
					random,
					groupIds: this.groupIds,
					// The last daemon is a spare without replicas.
					initialIds: ids.slice(0, shape.voters),
					send: (from, to, bytes) => {
						this.network.send(from, to, bytes);
					},
					onFatal: (daemon, error) => {
						this.#handleFatalError(daemon, error);
					},
					onLeader: (daemon, groupId, term) => {
						this.#recordLeader(daemon, groupId, term);
					},
					...(fault === undefined ? {} : CONSENSUS_FAULTS[fault]),
				}),
			);
		}
	}

	get random(): RandomSource {
		return this.#random;
	}

	/** Daemons that are running and not frozen. */
	get liveDaemons(): SimulatedDaemon[] {
		return this.daemons.filter((daemon) => daemon.host && !daemon.isFrozen);
	}

	/**
	 * Daemons that consider themselves leader of the group; several while an old leader is not yet
	 * aware of its successor.
	 */
	findLeaders(groupId: GroupId): SimulatedDaemon[] {
		return this.liveDaemons.filter(
			(daemon) => daemon.host!.leadership(groupId).isLeader,
		);
	}

	/** The leader of the group with the highest term. */
	findLeader(groupId: GroupId): SimulatedDaemon | undefined {
		return this.findLeaders(groupId).toSorted(
			(a, b) =>
				b.host!.leadership(groupId).term - a.host!.leadership(groupId).term,
		)[0];
	}

	/** Starts the daemon after a delay unless it is already running by then. */
	restartLater(daemon: SimulatedDaemon, delayMs: number): void {
		this.time.schedule(delayMs, () => {
			if (!daemon.isRunning) {
				this.events.record('restart', daemon.id);
				void daemon.start();
			}
		});
	}

	#recordLeader(daemon: SimulatedDaemon, groupId: GroupId, term: number) {
		const key = `${groupId} in term ${term}`;
		const previousLeader = this.#leaders.get(key);
		if (previousLeader !== undefined && previousLeader !== daemon.diskId) {
			this.events.fail(
				`${groupId} has two leaders in term ${term}: ${previousLeader} and ${daemon.diskId}`,
			);
		}

		this.#leaders.set(key, daemon.diskId!);
	}

	#findDaemon(id: string) {
		return this.daemons.find((daemon) => daemon.id === id);
	}

	#handleFatalError(daemon: SimulatedDaemon, error: unknown) {
		if (!isExpectedFailure(error)) {
			this.events.fail(`${daemon.id} stopped: ${String(error)}`, error);
			return;
		}

		this.events.record('process-stopped', `${daemon.id} ${String(error)}`);
		daemon.kill();
		this.restartLater(daemon, 500);
	}
}
