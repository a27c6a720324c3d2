import type {ServerLoad} from '@marjoramcove/balancer';
import type {GatewayContext} from '../gateway-context.ts';

/** Factors are logged with two decimals. */
const round = (factor: number): number => Math.round(factor * 100) / 100;

/**
 * Logs that servers began or ceased to differ in speed from their service, and updates the gauge.
 *
 * @example
 * ```ts
 * logSpeedChanges(context, placement.servers, applied.speedChanged, nowMs);
 * ```
 */
export const logSpeedChanges = (
	{logger, metrics}: Pick<GatewayContext, 'logger' | 'metrics'>,
	servers: readonly ServerLoad[],
	changed: readonly ServerLoad[],
	nowMs: number,
): void => {
	for (const {server, speed} of changed) {
		const {call, event, read} = speed.factors(nowMs);
		logger.info({
			event: 'server-speed-changed',
			server: server.id,
			service: server.service,
			callFactor: round(call),
			eventFactor: round(event),
			readFactor: round(read),
		});
	}

	if (changed.length > 0) {
		const differing = servers.filter(({speed}) =>
			Object.values(speed.factors(nowMs)).some((factor) => factor !== 1),
		);
		metrics
			.gauge(
				'marjoramcove_servers_differing_in_speed',
				'Servers whose learnt speed differs from that of their service.',
			)
			.set(differing.length);
	}
};
