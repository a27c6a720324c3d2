import {randomUUID} from 'node:crypto';
import {MarjoramcoveError, RefusedError} from '@marjoramcove/errors';
import type {Logger} from '@marjoramcove/logger';
import {
	type Counter,
	type DurationHistogram,
	MetricsRegistry,
} from '@marjoramcove/metrics';
import type {Settings} from '@marjoramcove/settings';
import {asId, type IncarnationId} from '@marjoramcove/types';

/** Lifecycle phase of the process, as other daemons see it. */
export type DaemonPhase = 'starting' | 'ready' | 'draining';

/** Settings, logging, metrics and process state that all services of a daemon share. */
export type DaemonContext = {
	settings: Settings;
	logger: Logger;
	metrics: MetricsRegistry;
	/** Changes at each start of the process. */
	incarnation: IncarnationId;
	/** Wall-clock start time; orders the incarnations of this daemon. */
	startedAtMs: number;
	phase: DaemonPhase;
	refusals: Counter;
	retries: Counter;
	steps: DurationHistogram;
	/** Stops the process at once after a fault that may have left its state inconsistent. */
	fail: (error: unknown) => void;
};

/**
 * Creates the shared context of a daemon.
 *
 * @example
 * ```ts
 * const context = createDaemonContext(settings, logger, (error) => process.exit(1));
 * ```
 */
export const createDaemonContext = (
	settings: Settings,
	logger: Logger,
	fail: (error: unknown) => void,
): DaemonContext => {
	const metrics = new MetricsRegistry();
	return {
		settings,
		logger,
		metrics,
		incarnation: asId<IncarnationId>(randomUUID()),
		startedAtMs: Date.now(),
		phase: 'starting',
		refusals: metrics.counter(
			'marjoramcove_refusals_total',
			'Refused requests by reason.',
		),
		retries: metrics.counter(
			'marjoramcove_retries_total',
			'Retries by step and reason.',
		),
		steps: metrics.histogram(
			'marjoramcove_step_duration_ms',
			'Duration of the steps of a call in milliseconds.',
		),
		fail,
	};
};

/** Whether the error states that nothing has run and nothing will run. */
export const isNotRun = (error: unknown): boolean =>
	error instanceof MarjoramcoveError && error.verdict === 'not-run';

/** Creates an error with verdict `not-run`. */
export const createRefusedError = (
	reason: string,
	message: string,
	hint: string,
	data?: Record<string, unknown>,
): RefusedError => new RefusedError(message, {reason, hint, data});
