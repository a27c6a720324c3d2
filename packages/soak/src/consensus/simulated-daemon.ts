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

/** A drifting clock. Timers that expire while the process is frozen run when the freeze ends. */
class DriftingClock extends Clock {
	readonly #daemon: SimulatedDaemon;
	readonly #time: VirtualTime;
	readonly #processNumber: number;

	constructor(
		daemon: SimulatedDaemon,
		time: VirtualTime,
		processNumber: number,
	) {
		super();
		this.#daemon = daemon;
		this.#time = time;
		this.#processNumber = processNumber;
	}

	override nowMs() {
		return this.#daemon.localTime();
	}

	override startTimer(delayMs: number, call: () => void) {
		const run = this.#daemon.bindToProcess(this.#processNumber, call);
		return this.#time.schedule(delayMs / this.#daemon.clockRate, run);
	}

	override defer(call: () => void) {
		this.#time.schedule(
			0,
			this.#daemon.bindToProcess(this.#processNumber, call),
		);
	}
}

/**
 * Time, randomness, network and callbacks of a simulated daemon, and overrides that inject faults.
 */
export type DaemonEnvironment = {
	time: VirtualTime;
	random: RandomSource;
	groupIds: readonly GroupId[];
	initialIds: readonly DaemonId[];
	send: (from: string, to: string, bytes: Uint8Array) => void;
	onFatal: (daemon: SimulatedDaemon, error: unknown) => void;
	/** Called when a replica of this daemon has become leader. */
	onLeader: (daemon: SimulatedDaemon, groupId: GroupId, term: number) => void;
	step?: typeof stepRaft;
	isSyncSkipped?: (file: string) => boolean;
	createDiskId?: (daemonId: string) => string;
	/** Overrides the first history offset that the state machine reports as still needed. */
	findHistoryStart?: (operations: readonly string[]) => number;
};

/** A VM with a disk, a clock and a daemon process, which can crash, freeze and lose the disk. */
export class SimulatedDaemon {
	readonly id: DaemonId;
	readonly disk: MemoryFileSystem;
	clockRate = 1;
	host: ReplicaHost | undefined;
	/** Id of the current disk, once a process has opened it. */
	diskId: DiskId | undefined;
	machines = new Map<GroupId, ListMachine>();
	isFrozen = false;
	/** Maximum duration of a sync. */
	maxSyncMs = 4;
	readonly #environment: DaemonEnvironment;
	/** Number of the running process; 0 while no process runs. */
	#processNumber = 0;
	#processCount = 0;
	#clockBase = {localMs: 0, globalMs: 0};
	/** Calls that are deferred until the end of the freeze. */
	#deferredCalls: Array<() => void> = [];

	constructor(id: string, environment: DaemonEnvironment) {
		this.id = asId<DaemonId>(id);
		this.#environment = environment;
		const {time, random, isSyncSkipped} = environment;
		this.disk = new MemoryFileSystem({
			delay: async (operation) => {
				if (operation === 'sync') {
					await time.sleep(random.uniform() * this.maxSyncMs);
				}

				if (this.isFrozen) {
					await new Promise<void>((resolve) => {
						this.#deferredCalls.push(resolve);
					});
				}
			},
			isSyncSkipped,
		});
	}

	get isRunning(): boolean {
		return this.#processNumber !== 0;
	}

	/** Reads the drifting clock of the VM. */
	localTime(): number {
		const {localMs, globalMs} = this.#clockBase;
		const elapsedMs = this.#environment.time.nowMs() - globalMs;
		return localMs + elapsedMs * this.clockRate;
	}

	setClockRate(rate: number): void {
		this.#clockBase = {
			localMs: this.localTime(),
			globalMs: this.#environment.time.nowMs(),
		};
		this.clockRate = rate;
	}

	/**
	 * Wraps a call so that it is dropped after the process has ended and deferred while it is frozen.
	 */
	bindToProcess(processNumber: number, call: () => void): () => void {
		const run = () => {
			if (processNumber !== this.#processNumber || processNumber === 0) {
				return;
			}

			if (this.isFrozen) {
				this.#deferredCalls.push(run);
			} else {
				call();
			}
		};

		return run;
	}

	async start(): Promise<void> {
		this.#processCount += 1;
		this.#processNumber = this.#processCount;
		const processNumber = this.#processNumber;
		const machines = new Map<GroupId, ListMachine>();
		this.machines = machines;
		try {
			const host = await ReplicaHost.open(this.#hostOptions());
			if (processNumber === this.#processNumber) {
				this.diskId = host.diskId;
			}

			host.onLeadershipChange((groupId, {isLeader, term}) => {
				if (isLeader && processNumber === this.#processNumber) {
					this.#environment.onLeader(this, groupId, term);
				}
			});
			for (const groupId of this.#environment.groupIds) {
				const machine = new ListMachine(this.#environment.findHistoryStart);
				machines.set(groupId, machine);
				await host.addGroup(
					groupId,
					machine,
					this.#environment.initialIds.map((daemonId) => ({daemonId})),
				);
			}

			if (processNumber === this.#processNumber) {
				this.host = host;
			} else {
				this.#stopIgnoringErrors(host);
			}
		} catch (error) {
			if (processNumber === this.#processNumber) {
				this.#environment.onFatal(this, error);
			}
		}
	}

	receive(from: string, bytes: Uint8Array): void {
		this.bindToProcess(this.#processNumber, () => {
			this.host?.receive(asId<DaemonId>(from), bytes);
		})();
	}

	freeze(): void {
		this.isFrozen = true;
	}

	unfreeze(): void {
		this.isFrozen = false;
		const deferredCalls = this.#deferredCalls;
		this.#deferredCalls = [];
		for (const call of deferredCalls) {
			call();
		}
	}

	/** Ends the process. Everything that it has written survives, synced or not. */
	kill(): void {
		this.#endProcess();
		this.disk.endProcess();
	}

	/**
	 * Ends the process and loses unsynced writes; if torn, a random number of the first ones survives.
	 */
	crash(isTorn: boolean): void {
		const {random} = this.#environment;
		this.#endProcess();
		this.disk.crash(isTorn ? (count) => random.integer(0, count) : undefined);
	}

	/** Ends the process and replaces the disk with an empty one. */
	loseDisk(): void {
		this.#endProcess();
		this.disk.wipe();
		this.diskId = undefined;
	}

	#stopIgnoringErrors(host: ReplicaHost | undefined) {
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
		this.#processNumber = 0;
		const {host} = this;
		this.host = undefined;
		this.#stopIgnoringErrors(host);
		this.isFrozen = false;
		const deferredCalls = this.#deferredCalls;
		this.#deferredCalls = [];
		// Deferred file operations continue and fail, because their process has ended.
		for (const call of deferredCalls) {
			call();
		}
	}

	#hostOptions(): ReplicaHostOptions {
		const {time, random, send, step, createDiskId} = this.#environment;
		const processNumber = this.#processNumber;
		return {
			daemonId: this.id,
			folder: '/data',
			fileSystem: this.disk.forProcess(),
			clock: new DriftingClock(this, time, processNumber),
			random: () => random.uniform(),
			send: (to, batch) => {
				if (processNumber === this.#processNumber) {
					send(this.id, to, batch);
				}
			},
			raft: {keptEntries: 20},
			snapshotEveryEntries: 60,
			// About 20 entries of all groups together, so that replicas that lag behind need snapshots.
			logMemorySizeBytes: 5000,
			segmentSizeBytes: 16_384,
			historySegmentSizeBytes: 100,
			onFatal: (error) => {
				if (processNumber === this.#processNumber) {
					this.#environment.onFatal(this, error);
				}
			},
			step,
			createDiskId: () =>
				createDiskId?.(this.id) ??
				`disk-${this.id}-${random.integer(0, 2 ** 32).toString(36)}`,
		};
	}
}
