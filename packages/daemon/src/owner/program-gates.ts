import type {ProgramId} from '@marjoramcove/types';
import PQueue from 'p-queue';
import {refusal} from '../daemon-context.ts';

type Gate = {queue: PQueue; wake: Set<() => void>};

/**
 * Queues the calls of each program in the order of their arrival, and lets them wait until the call
 * before them has settled. Losing the queue loses nothing, because no call in it was proposed.
 */
export class ProgramGates {
	readonly #gates = new Map<ProgramId, Gate>();
	readonly #limit: number;

	constructor(limit: number) {
		this.#limit = limit;
	}

	/**
	 * Runs a task after all earlier tasks of the program.
	 *
	 * @throws RefusedError `program-queue-full` when too many calls wait.
	 */
	async enter<Result>(
		programId: ProgramId,
		task: () => Promise<Result>,
	): Promise<Result> {
		const gate = this.#open(programId);
		if (gate.queue.size >= this.#limit) {
			throw refusal(
				'program-queue-full',
				`${this.#limit} calls of the program are waiting.`,
				'Wait for the answers to earlier calls.',
			);
		}

		try {
			return await gate.queue.add(task);
		} finally {
			if (gate.queue.size === 0 && gate.queue.pending === 0) {
				this.#gates.delete(programId);
			}
		}
	}

	/** Resolves at the next change of the program, or after the time. */
	async changed(programId: ProgramId, timeoutMs: number): Promise<void> {
		const gate = this.#open(programId);
		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				gate.wake.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, timeoutMs);
			gate.wake.add(finish);
		});
	}

	/** Wakes the tasks that wait for a change of the program. */
	notify(programId: ProgramId): void {
		for (const wake of this.#gates.get(programId)?.wake ?? []) {
			wake();
		}
	}

	/** Wakes all waiting tasks, for example after a change of leader. */
	notifyAll(): void {
		for (const programId of this.#gates.keys()) {
			this.notify(programId);
		}
	}

	#open(programId: ProgramId): Gate {
		let gate = this.#gates.get(programId);
		if (!gate) {
			gate = {queue: new PQueue({concurrency: 1}), wake: new Set()};
			this.#gates.set(programId, gate);
		}

		return gate;
	}
}
