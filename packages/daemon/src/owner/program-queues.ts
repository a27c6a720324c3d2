import type {ProgramId} from '@marjoramcove/types';
import PQueue from 'p-queue';
import {createRefusedError} from '../daemon-context.ts';

type ProgramQueue = {queue: PQueue; waiters: Set<() => void>};

/**
 * Queues the calls of each program in order of arrival, and lets a call wait until the previous one has
 * settled. The queues need no persistence, because no call in them was proposed.
 */
export class ProgramQueues {
	readonly #queues = new Map<ProgramId, ProgramQueue>();
	readonly #maxQueuedCalls: number;

	constructor(maxQueuedCalls: number) {
		this.#maxQueuedCalls = maxQueuedCalls;
	}

	/**
	 * Runs a task after all earlier tasks of the program.
	 *
	 * @throws RefusedError `program-queue-full` when too many calls wait.
	 */
	async run<Result>(
		programId: ProgramId,
		task: () => Promise<Result>,
	): Promise<Result> {
		const programQueue = this.#getOrCreate(programId);
		if (programQueue.queue.size >= this.#maxQueuedCalls) {
			throw createRefusedError(
				'program-queue-full',
				`${this.#maxQueuedCalls} calls of the program are waiting.`,
				'Wait for the answers to earlier calls.',
			);
		}

		try {
			return await programQueue.queue.add(task);
		} finally {
			if (programQueue.queue.size === 0 && programQueue.queue.pending === 0) {
				this.#queues.delete(programId);
			}
		}
	}

	/** Resolves at the next change of the program, or after the timeout. */
	async waitForChange(programId: ProgramId, timeoutMs: number): Promise<void> {
		const programQueue = this.#getOrCreate(programId);
		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				programQueue.waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, timeoutMs);
			programQueue.waiters.add(finish);
		});
	}

	/** Resumes the tasks that wait for a change of the program. */
	notify(programId: ProgramId): void {
		for (const resume of this.#queues.get(programId)?.waiters ?? []) {
			resume();
		}
	}

	/** Resumes all waiting tasks, for example after a change of leader. */
	notifyAll(): void {
		for (const programId of this.#queues.keys()) {
			this.notify(programId);
		}
	}

	#getOrCreate(programId: ProgramId): ProgramQueue {
		let programQueue = this.#queues.get(programId);
		if (!programQueue) {
			programQueue = {queue: new PQueue({concurrency: 1}), waiters: new Set()};
			this.#queues.set(programId, programQueue);
		}

		return programQueue;
	}
}
