import type {LeavingSource, ServerLoad} from '@marjoramcove/balancer';
import type {GatewayContext} from '../gateway-context.ts';

/**
 * Logs and counts that this daemon learnt that a server is leaving.
 *
 * @param atMs - monotonic time of the news, which may be older than its arrival.
 */
export const logServerLeaving = (
	{logger, metrics}: Pick<GatewayContext, 'logger' | 'metrics'>,
	{server}: ServerLoad,
	source: LeavingSource,
	atMs = performance.now(),
): void => {
	metrics
		.counter(
			'marjoramcove_servers_leaving_total',
			'Servers learnt to be leaving, by the source of the news.',
		)
		.increment({source});
	logger.info({
		event: 'server-leaving',
		server: server.id,
		service: server.service,
		source,
		ageMs: Math.round(performance.now() - atMs),
	});
};
