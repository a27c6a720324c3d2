import type {CallerExchange, RequestHead} from '@marjoramcove/ingress';
import type {GatewayContext} from '../gateway-context.ts';
import type {RequestContext, RequestOutcome} from './request-context.ts';

/** Writes the log line of a request that has ended, and records the durations of its stages. */
export const logRequestOutcome = (
	context: GatewayContext,
	{
		exchange,
		head,
		request,
		outcome,
		documentVersion,
	}: {
		exchange: CallerExchange;
		head: RequestHead;
		/** Absent if the request was refused before its route was known. */
		request: RequestContext | undefined;
		outcome: RequestOutcome;
		/** Version of the document in force. */
		documentVersion: number | undefined;
	},
): void => {
	const {stages, logger, view} = context;
	const nowMs = performance.now();
	const durationMs = nowMs - exchange.receivedAtMs;
	const route = request?.route.name;
	const progress = Object.entries(request?.progress ?? {});
	logger.info({
		event: 'request-finished',
		request: head.requestId,
		team: request?.teamId,
		program: head.programId,
		route,
		documentVersion: request?.documentVersion ?? documentVersion,
		confirmedAgeMs: Number.isFinite(view.confirmedAtMs)
			? Math.round(nowMs - view.confirmedAtMs)
			: undefined,
		status: outcome.status,
		reason: outcome.reason,
		server: outcome.serverId,
		attempts: outcome.attempts,
		...request?.received,
		...Object.fromEntries(
			progress.map(([stage, elapsedMs]) => [stage, Math.round(elapsedMs)]),
		),
		durationMs: Math.round(durationMs),
		deadlineMs: head.deadlineMs,
	});
	for (const [stage, elapsedMs] of progress) {
		stages.record(elapsedMs, {stage: stage.slice(0, -'Ms'.length)});
	}

	stages.record(durationMs, {stage: 'request', route: route ?? 'none'});
};
