import {readTuning} from './policy-tuning.ts';
import type {InFlightLoad, PolicySettings, QueuedCall} from './types.ts';

/**
 * Whether an engine has a slot and memory for the call that `pickNext` chose. An idle engine takes any
 * call. A call without room waits and no other call overtakes it, so large calls do not starve.
 *
 * @example
 * ```ts
 * if (hasRoom(load, call, settings)) {
 * 	send(call);
 * }
 * ```
 */
export const hasRoom = (
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
