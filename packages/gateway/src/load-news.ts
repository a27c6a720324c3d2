import type {PlacementUpdate} from '@marjoramcove/balancer';

/**
 * Longest time for which a control daemon holds an exchange while no daemon has anything to report. Nothing
 * is learnt later by this, because the first report ends the wait.
 */
export const QUIET_WAIT_MS = 1000;

/** Whether an update tells anything; speeds alone change too slowly to end a wait. */
export const hasNews = ({
	inFlight,
	shared,
	rates = {},
	leaving = {},
}: PlacementUpdate): boolean =>
	shared.length > 0 ||
	[inFlight, rates, leaving].some((part) => Object.keys(part).length > 0);
