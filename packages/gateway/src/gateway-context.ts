import type {RouteExplanation} from './entry/explain-route.ts';
import {randomUUID} from 'node:crypto';
import type {MemberPhase, MembershipTable} from '@marjoramcove/fleet';
import type {DroppedLines, Logger} from '@marjoramcove/logger';
import {
	type Counter,
	type DurationHistogram,
	MetricsRegistry,
} from '@marjoramcove/metrics';
import {asId, type IncarnationId} from '@marjoramcove/types';
import {AccessGate} from './entry/access-gate.ts';
import type {QuotaUse} from './describe-quotas.ts';
import {FleetView} from './fleet-view.ts';
import type {QuotaBorrowerService} from './services/quota-borrower-service.ts';
import {readClocks} from './read-clocks.ts';
import type {GatewayAdapter} from './gateway-adapter.ts';
import type {GatewaySettings} from './gateway-settings.ts';

/** State shared by all services of a daemon. */
export type GatewayContext = {
	settings: GatewaySettings;
	adapter: GatewayAdapter;
	logger: Logger;
	/** Counts of log lines that were dropped because their reader was too slow. */
	droppedLogLines: Readonly<DroppedLines>;
	metrics: MetricsRegistry;
	/** Unique for each start of the process. */
	incarnation: IncarnationId;
	phase: MemberPhase;
	/** Monotonic time at which the daemon stops, even if requests are in progress; set when it drains. */
	stopAtMs?: number;
	view: FleetView;
	/** Borrows credit for the requests of teams; only present in entry daemons that enforce quotas. */
	quotas?: QuotaBorrowerService;
	/** Reports that this control daemon received; the leader receives those of all daemons. */
	memberReports?: MembershipTable;
	/** Describes the use of quotas; only present in control daemons that enforce them. */
	describeQuotas?: () => QuotaUse;
	/** Decides about the keys of callers; only used by entry daemons. */
	accessGate: AccessGate;
	/** Explains the choice of a server for a route; only set for role `entry`. */
	explainRoute?: (query: URLSearchParams) => RouteExplanation | undefined;
	/** Monotonic time of the last load report of the other entry daemons. */
	loadReportedAtMs: number;
	refusals: Counter;
	retries: Counter;
	stages: DurationHistogram;
	/** Stops the process immediately after a failure that may have corrupted its state. */
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
	dependencies: Pick<
		GatewayContext,
		'adapter' | 'droppedLogLines' | 'fail' | 'logger' | 'settings'
	>,
): GatewayContext => {
	const metrics = new MetricsRegistry();
	const {settings} = dependencies;
	const view = new FleetView({
		keepsHistory: settings.role === 'control',
		// Only the bounds on removed keys and on quotas need to know how old a confirmation really is.
		...((settings.access ?? settings.quotas) && {readClocks}),
	});
	return {
		...dependencies,
		metrics,
		incarnation: asId<IncarnationId>(randomUUID()),
		phase: 'starting',
		view,
		accessGate: new AccessGate(view, settings),
		loadReportedAtMs: -Infinity,
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
