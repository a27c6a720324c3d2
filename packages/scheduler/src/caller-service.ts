import type {CallerId} from '@marjoramcove/types';

/**
 * Service that callers have received on one engine, in milliseconds of engine time. A caller that was
 * idle resumes at `floorMs`, so that it cannot accumulate credit. Callers at the floor need no entry.
 */
export type CallerService = {
	floorMs: number;
	services: Map<CallerId, number>;
};

/** Number of entries above which those at the floor are removed. */
const PRUNE_ABOVE_CALLERS = 64;

/**
 * Creates a record without any service.
 *
 * @example
 * ```ts
 * const callerService = createCallerService();
 * ```
 */
export const createCallerService = (): CallerService => ({
	floorMs: 0,
	services: new Map(),
});

/**
 * Returns the service of a caller, for `QueuedCall.callerServiceMs`.
 *
 * @example
 * ```ts
 * call.callerServiceMs = readService(callerService, call.callerId);
 * ```
 */
export const readService = (
	callerService: CallerService,
	callerId: CallerId,
): number =>
	Math.max(callerService.floorMs, callerService.services.get(callerId) ?? 0);

/**
 * Adds the work of a call to its caller's service when the call is sent to the engine. Mutates and
 * returns `callerService`.
 *
 * @param floorMs - minimum service among the callers that are waiting; undefined when none is.
 * @example
 * ```ts
 * callerService = recordService(callerService, call.callerId, workMs, leastWaitingServiceMs);
 * ```
 */
export const recordService = (
	callerService: CallerService,
	callerId: CallerId,
	workMs: number,
	floorMs?: number,
): CallerService => {
	const service = readService(callerService, callerId);
	callerService.floorMs = Math.max(callerService.floorMs, floorMs ?? service);
	callerService.services.set(callerId, service + workMs);
	if (callerService.services.size > PRUNE_ABOVE_CALLERS) {
		for (const [id, value] of callerService.services) {
			if (value <= callerService.floorMs) {
				callerService.services.delete(id);
			}
		}
	}

	return callerService;
};
