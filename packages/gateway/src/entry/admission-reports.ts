import type {Counter, DurationHistogram, Gauge} from '@marjoramcove/metrics';
import type {AdmissionAction, ServiceCapacity} from '@marjoramcove/scheduler';
import type {GatewayContext} from '../gateway-context.ts';
import type {RequestContext} from './request-context.ts';

/** State of the queue of a service, for operators. */
export type QueueReport = {
	waiting: number;
	inFlight: number;
	limit: number;
	usableShare: number;
};

type RefuseAction = Extract<AdmissionAction, {type: 'refuse'}>;

/** Teams that have a label of their own in the counter of refusals; the others are counted together. */
const MAX_TEAM_LABELS = 20;

/** Interval at which the gauges of a service are set; they are read every few seconds. */
const GAUGE_INTERVAL_MS = 200;

/** Metrics and log lines of the queues of an entry daemon. */
export class AdmissionReports {
	readonly #context: GatewayContext;
	readonly #gauges: Record<keyof QueueReport, Gauge>;
	readonly #waits: DurationHistogram;
	readonly #refusals: Counter;
	readonly #teamLabels = new Set<string>();
	readonly #gaugesSetAtMs = new Map<string, number>();

	constructor(context: GatewayContext) {
		const {metrics} = context;
		this.#context = context;
		this.#gauges = {
			waiting: metrics.gauge(
				'marjoramcove_queue_waiting',
				'Requests of this daemon that wait for a service.',
			),
			inFlight: metrics.gauge(
				'marjoramcove_queue_in_flight',
				'Requests of this daemon that were admitted to a service and have not ended.',
			),
			limit: metrics.gauge(
				'marjoramcove_queue_limit',
				'Requests that this daemon may have in progress at a full service.',
			),
			usableShare: metrics.gauge(
				'marjoramcove_queue_usable_share',
				'Learnt share of the slots of a service that can be used without queueing there.',
			),
		};
		this.#waits = metrics.histogram(
			'marjoramcove_queue_wait_ms',
			'Wait of the requests that were sent to a service, in milliseconds.',
		);
		this.#refusals = metrics.counter(
			'marjoramcove_admission_refusals_total',
			'Refusals by the queue of a service, by reason and team.',
		);
	}

	recordQueue(service: string, report: QueueReport, nowMs: number): void {
		const setAtMs = this.#gaugesSetAtMs.get(service) ?? -Infinity;
		if (report.waiting > 0 && nowMs - setAtMs < GAUGE_INTERVAL_MS) {
			return;
		}

		this.#gaugesSetAtMs.set(service, nowMs);
		for (const [name, gauge] of Object.entries(this.#gauges)) {
			gauge.set(report[name as keyof QueueReport], {service});
		}
	}

	recordSend(service: string, waitedMs: number): void {
		this.#waits.record(waitedMs, {service});
	}

	/** Logs a refusal with the inputs of its decision. */
	recordRefusal(
		{head, route, service, teamId, priority}: RequestContext,
		{reason, retryAfterMs, inputs}: RefuseAction,
		capacity: ServiceCapacity,
	): void {
		this.#refusals.increment({service, reason, team: this.#labelOf(teamId)});
		this.#context.logger.info({
			event: 'admission-refused',
			request: head.requestId,
			program: head.programId,
			team: teamId,
			route: route.name,
			service,
			reason,
			priority,
			isFirstTurn: head.previousTurnId === undefined,
			waitMs: Math.round(inputs.waitMs),
			maxWaitMs: Math.round(inputs.maxWaitMs),
			needMs: Math.round(inputs.needMs),
			programDeadlineMs: head.programDeadlineMs,
			retryAfterMs,
			waiting: inputs.waiting,
			inFlight: inputs.inFlight,
			limit: Number(inputs.limit.toFixed(2)),
			...capacity,
		});
	}

	#labelOf(team: string | undefined): string {
		if (team === undefined) {
			return 'none';
		}

		if (this.#teamLabels.has(team)) {
			return team;
		}

		if (this.#teamLabels.size >= MAX_TEAM_LABELS) {
			return 'other';
		}

		this.#teamLabels.add(team);
		return team;
	}
}
