import {randomUUID} from 'node:crypto';
import type {MemberPhase} from '@marjoramcove/fleet';
import type {DroppedLines, Logger} from '@marjoramcove/logger';
import {
	type Counter,
	type DurationHistogram,
	MetricsRegistry,
} from '@marjoramcove/metrics';
import {asId, type IncarnationId} from '@marjoramcove/types';
import {FleetView} from './fleet-view.ts';
import type {GatewayAdapter} from './gateway-adapter.ts';
import type {GatewaySettings} from './gateway-settings.ts';

/** What every service of one daemon shares. */
export type GatewayContext = {
	settings: GatewaySettings;
	adapter: GatewayAdapter;
	logger: Logger;
	/** Log lines that were left out because their reader was too slow. */
	droppedLogLines: Readonly<DroppedLines>;
	metrics: MetricsRegistry;
	/** Changes at each start of the process. */
	incarnation: IncarnationId;
	phase: MemberPhase;
	view: FleetView;
	refusals: Counter;
	retries: Counter;
	stages: DurationHistogram;
	/** Stops the process at once after a fault that makes its state doubtful. */
	fail: (error: unknown) => void;
};

/**
 * Creates the shared context of a daemon.
 *
 * @example
 * ```ts
 * const context = createGatewayContext({settings, adapter, logger, droppedLogLines, fail});
 * ```
 */
export const createGatewayContext = (
	given: Pick<
		GatewayContext,
		'adapter' | 'droppedLogLines' | 'fail' | 'logger' | 'settings'
	>,
): GatewayContext => {
	const metrics = new MetricsRegistry();
	return {
		...given,
		metrics,
		incarnation: asId<IncarnationId>(randomUUID()),
		phase: 'starting',
		view: new FleetView(),
		refusals: metrics.counter(
			'marjoramcove_refusals_total',
			'Refused requests by reason.',
		),
		retries: metrics.counter(
			'marjoramcove_retries_total',
			'Retries by step and reason.',
		),
		stages: metrics.histogram(
			'marjoramcove_stage_duration_ms',
			'Duration of the stages of a request in milliseconds.',
		),
	};
};
