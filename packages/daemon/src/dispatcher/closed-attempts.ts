import type {AttemptStatus} from '../call-contracts.ts';

/** Running time of the process for which the end of an idempotent attempt is kept. */
const idempotentRetentionMs = 60_000;

/**
 * Running time of the process for which the end of a non-idempotent attempt is kept. It exceeds the
 * longest timeout of an operation by more than the time for which the kernel retransmits data of a closed
 * connection, so that a grant that arrives late never starts the attempt again.
 */
const nonIdempotentRetentionMs = 2 * 3_600_000;

/** Longest timeout of an operation that {@link ClosedAttempts} covers. */
export const LONGEST_OPERATION_TIMEOUT_MS = 3_600_000;

type ClosedAttempt = {status: AttemptStatus; remainingMs: number};

/**
 * Attempts that must not be started any more.
 *
 * Their retention counts only time in which the process ran: after a freeze, grants that arrived
 * meanwhile wait in socket buffers and must still find the attempt closed.
 */
export class ClosedAttempts {
	readonly #attempts = new Map<string, ClosedAttempt>();
	readonly #sweepIntervalMs: number;

	constructor(sweepIntervalMs: number) {
		this.#sweepIntervalMs = sweepIntervalMs;
	}

	get size(): number {
		return this.#attempts.size;
	}

	/** Records the end of an attempt. */
	close(key: string, status: AttemptStatus, idempotent: boolean): void {
		this.#attempts.set(key, {
			status,
			remainingMs: idempotent
				? idempotentRetentionMs
				: nonIdempotentRetentionMs,
		});
	}

	statusOf(key: string): AttemptStatus | undefined {
		return this.#attempts.get(key)?.status;
	}

	/** Removes attempts whose retention has ended. Call it once per sweep interval. */
	sweep(): void {
		for (const [key, attempt] of this.#attempts) {
			attempt.remainingMs -= this.#sweepIntervalMs;
			if (attempt.remainingMs <= 0) {
				this.#attempts.delete(key);
			}
		}
	}
}
