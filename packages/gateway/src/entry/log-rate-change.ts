import type {ServerLoad} from '@marjoramcove/balancer';
import type {Logger} from '@marjoramcove/logger';

/** Logs that a server stated another request rate, in a response to this daemon or to another one. */
export const logRateChange = (
	logger: Logger,
	{server, rateShare}: ServerLoad,
	source: 'daemon' | 'server',
): void => {
	const {intervalMs, statement} = rateShare;
	logger.info({
		event: 'server-rate-changed',
		server: server.id,
		service: server.service,
		requestsPerSecond: statement.requestsPerSecond,
		source,
		hasShare: intervalMs < Infinity,
		intervalMs: Number.isFinite(intervalMs)
			? Math.round(intervalMs)
			: undefined,
	});
};
