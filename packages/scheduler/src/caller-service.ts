import type {CallerId} from '@marjoramcove/types';

/**
 * Service that callers attained on one engine, in work milliseconds. A caller that was idle starts at
 * `floorMs`, so it cannot save up service; callers at the floor take no memory.
 */
export type CallerService = {
	floorMs: number;
	services: Map<CallerId, number>;
};

/** Number of callers above which entries at the floor are removed. */
const PRUNE_ABOVE_CALLERS = 64;

/**
 * Creates an empty ledger.
 *
 * @example
 * ```ts
 * const ledger = createCallerService();
 * ```
 */
export const createCallerService = (): CallerService => ({
	floorMs: 0,
	services: new Map(),
});

/**
 * Service of a caller, for `QueuedCall.callerServiceMs`.
 *
 * @example
 * ```ts
 * call.callerServiceMs = readService(ledger, call.callerId);
 * ```
 */
export const readService = (
	ledger: CallerService,
	callerId: CallerId,
): number => Math.max(ledger.floorMs, ledger.services.get(callerId) ?? 0);

/**
 * Charges work to a caller when its call is sent to the engine. Takes ownership of the ledger.
 *
 * @param floorMs - least service among the callers that wait now; undefined when none waits.
 * @example
 * ```ts
 * ledger = recordService(ledger, call.callerId, workMs, leastWaitingServiceMs);
 * ```
 */
export const recordService = (
	ledger: CallerService,
	callerId: CallerId,
	workMs: number,
	floorMs?: number,
): CallerService => {
	const service = readService(ledger, callerId);
	ledger.floorMs = Math.max(ledger.floorMs, floorMs ?? service);
	ledger.services.set(callerId, service + workMs);
	if (ledger.services.size > PRUNE_ABOVE_CALLERS) {
		for (const [id, value] of ledger.services) {
			if (value <= ledger.floorMs) {
				ledger.services.delete(id);
			}
		}
	}

	return ledger;
};
