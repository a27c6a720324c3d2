import {
	Clock,
	ReplicaHost,
	type ReplicaHostOptions,
	type stepRaft,
	type VirtualTime,
} from '@marjoramcove/consensus';
import {MemoryFileSystem} from '@marjoramcove/storage';
import {
	asId,
	type DaemonId,
	type DiskId,
	type GroupId,
} from '@marjoramcove/types';
import type {RandomSource} from '../random-source.ts';
import {ListMachine} from './list-machine.ts';

/** A clock that drifts, and stands still for the process while it is frozen. */
class DriftingClock extends Clock {
	readonly #daemon: SimulatedDaemon;
	readonly #time: VirtualTime;
	readonly #process: number;

	constructor(daemon: SimulatedDaemon, time: VirtualTime, process: number) {
		super();
		this.#daemon = daemon;
		this.#time = time;
		this.#process = process;
	}

	override nowMs() {
		return this.#daemon.localTime();
	}

	override startTimer(delayMs: number, call: () => void) {
		const run = this.#daemon.bindToProcess(this.#process, call);
		return this.#time.schedule(delayMs / this.#daemon.clockRate, run);
	}

	override defer(call: () => void) {
		this.#time.schedule(0, this.#daemon.bindToProcess(this.#process, call));
	}
}

/** What a simulated daemon needs of its surroundings. */
export type DaemonSurroundings = {
	time: VirtualTime;
	random: RandomSource;
	groupIds: readonly GroupId[];
	initialIds: readonly DaemonId[];
	send: (from: string, to: string, bytes: Uint8Array) => void;
	onFatal: (daemon: SimulatedDaemon, error: unknown) => void;
	/** A replica of this daemon has become leader. */
	onLeader: (daemon: SimulatedDaemon, groupId: GroupId, term: number) => void;
	step?: typeof stepRaft;
	isSyncSkipped?: (file: string) => boolean;
	createDiskId?: (daemonId: string) => string;
	/** First offset of the history that a machine says it needs. */
	findFloor?: (operations: readonly string[]) => number;
};

/** A VM with a disk, a clock and a process that can die, freeze and lose its disk. */
export class SimulatedDaemon {
	readonly id: DaemonId;
	readonly disk: MemoryFileSystem;
	clockRate = 1;
	host: ReplicaHost | undefined;
	/** Identity of the present disk, once a process has opened it. */
	diskId: DiskId | undefined;
	machines = new Map<GroupId, ListMachine>();
	isFrozen = false;
	/** Largest duration of a sync. */
	syncMs = 4;
	readonly #surroundings: DaemonSurroundings;
	/** Number of the running process; 0 while none runs. */
	#process = 0;
	#processCount = 0;
	#clockBase = {localMs: 0, globalMs: 0};
	/** Calls that wait for the end of the freeze. */
	#waiting: Array<() => void> = [];

	constructor(id: string, surroundings: DaemonSurroundings) {
		this.id = asId<DaemonId>(id);
		this.#surroundings = surroundings;
		const {time, random, isSyncSkipped} = surroundings;
		this.disk = new MemoryFileSystem({
			delay: async (operation) => {
				if (operation === 'sync') {
					await time.sleep(random.uniform() * this.syncMs);
				}

				if (this.isFrozen) {
					await new Promise<void>((resolve) => {
						this.#waiting.push(resolve);
					});
				}
			},
			isSyncSkipped,
		});
	}

	get isRunning(): boolean {
		return this.#process !== 0;
	}

	localTime(): number {
		const {localMs, globalMs} = this.#clockBase;
		const elapsedMs = this.#surroundings.time.nowMs() - globalMs;
		return localMs + elapsedMs * this.clockRate;
	}

	setClockRate(rate: number): void {
		this.#clockBase = {
			localMs: this.localTime(),
			globalMs: this.#surroundings.time.nowMs(),
		};
		this.clockRate = rate;
	}

	/** A call that does nothing when the process has ended, and waits while it is frozen. */
	bindToProcess(process: number, call: () => void): () => void {
		const run = () => {
			if (process !== this.#process || process === 0) {
				return;
			}

			if (this.isFrozen) {
				this.#waiting.push(run);
			} else {
				call();
			}
		};

		return run;
	}

	async start(): Promise<void> {
		this.#processCount += 1;
		this.#process = this.#processCount;
		const process = this.#process;
		const machines = new Map<GroupId, ListMachine>();
		this.machines = machines;
		try {
			const host = await ReplicaHost.open(this.#hostOptions());
			if (process === this.#process) {
				this.diskId = host.diskId;
			}

			host.onLeadershipChange((groupId, {isLeader, term}) => {
				if (isLeader && process === this.#process) {
					this.#surroundings.onLeader(this, groupId, term);
				}
			});
			for (const groupId of this.#surroundings.groupIds) {
				const machine = new ListMachine(this.#surroundings.findFloor);
				machines.set(groupId, machine);
				await host.addGroup(
					groupId,
					machine,
					this.#surroundings.initialIds.map((daemonId) => ({daemonId})),
				);
			}

			if (process === this.#process) {
				this.host = host;
			} else {
				this.#stopQuietly(host);
			}
		} catch (error) {
			if (process === this.#process) {
				this.#surroundings.onFatal(this, error);
			}
		}
	}

	receive(from: string, bytes: Uint8Array): void {
		this.bindToProcess(this.#process, () => {
			this.host?.receive(asId<DaemonId>(from), bytes);
		})();
	}

	freeze(): void {
		this.isFrozen = true;
	}

	thaw(): void {
		this.isFrozen = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const call of waiting) {
			call();
		}
	}

	/** Ends the process; what it has written stays. */
	kill(): void {
		this.#endProcess();
		this.disk.endProcess();
	}

	/** Ends the process and loses unsynced writes, possibly with a torn tail. */
	crash(isTorn: boolean): void {
		const {random} = this.#surroundings;
		this.#endProcess();
		this.disk.crash(isTorn ? (count) => random.integer(0, count) : undefined);
	}

	/** Ends the process and replaces the disk by an empty one. */
	loseDisk(): void {
		this.#endProcess();
		this.disk.wipe();
		this.diskId = undefined;
	}

	#stopQuietly(host: ReplicaHost | undefined) {
		const stop = async () => {
			try {
				await host?.stop();
			} catch {
				// The files of an ended process cannot be closed.
			}
		};

		void stop();
	}

	#endProcess() {
		this.#process = 0;
		const {host} = this;
		this.host = undefined;
		this.#stopQuietly(host);
		this.isFrozen = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		// Delayed file operations go on, and fail because their process has ended.
		for (const call of waiting) {
			call();
		}
	}

	#hostOptions(): ReplicaHostOptions {
		const {time, random, send, step, createDiskId} = this.#surroundings;
		const process = this.#process;
		return {
			daemonId: this.id,
			folder: '/data',
			fileSystem: this.disk.forProcess(),
			clock: new DriftingClock(this, time, process),
			random: () => random.uniform(),
			send: (to, batch) => {
				if (process === this.#process) {
					send(this.id, to, batch);
				}
			},
			raft: {keptEntries: 20},
			snapshotEveryEntries: 60,
			// About 20 entries over all groups, so that replicas that are behind need snapshots.
			logMemorySizeBytes: 5000,
			segmentSizeBytes: 16_384,
			historySegmentSizeBytes: 100,
			onFatal: (error) => {
				if (process === this.#process) {
					this.#surroundings.onFatal(this, error);
				}
			},
			step,
			createDiskId: () =>
				createDiskId?.(this.id) ??
				`disk-${this.id}-${random.integer(0, 2 ** 32).toString(36)}`,
		};
	}
}
