import {readTuning} from './policy-tuning.ts';
import type {InFlightLoad, PolicySettings, QueuedCall} from './types.ts';

/**
 * Whether an engine has a free slot and enough memory for the call that `pickNext` returned. An idle
 * engine accepts any call. A call that does not fit stays at the head of the queue and is not overtaken,
 * so that large calls do not starve.
 *
 * @example
 * ```ts
 * if (hasCapacity(load, call, settings)) {
 * 	send(call);
 * }
 * ```
 */
export const hasCapacity = (
	load: InFlightLoad,
	call: Pick<QueuedCall, 'promptTokens' | 'expectedCompletionTokens'>,
	settings: PolicySettings,
): boolean => {
	if (load.inFlight === 0) {
		return load.slots > 0;
	}

	const tokens = call.promptTokens + call.expectedCompletionTokens;
	return (
		load.inFlight < load.slots &&
		load.inFlightTokens + tokens <=
			load.cacheCapacityTokens * readTuning(settings).runningCacheShare
	);
};
