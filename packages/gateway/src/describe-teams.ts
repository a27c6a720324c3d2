import type {RoutingDocument} from '@marjoramcove/routes';
import type {CallerId} from '@marjoramcove/types';

/** A team as shown to operators; its keys are not. */
export type TeamStatus = {
	name: CallerId;
	/** Number of keys. */
	keys: number;
	priority?: number;
	/** Absent if the team has no limit. */
	requestsPerSecond?: number;
	burstRequests: number;
};

/** Teams of the routing document that a daemon knows. */
export type TeamsStatus = {
	daemon: string;
	/** Version of the document; 0 if none is known. */
	documentVersion: number;
	/** Absent if callers need no key. */
	teams?: TeamStatus[];
};

/**
 * Describes the teams of a routing document.
 *
 * @example
 * ```ts
 * const {teams} = describeTeams('control-1', document);
 * ```
 */
export const describeTeams = (
	daemon: string,
	document: RoutingDocument | undefined,
): TeamsStatus => ({
	daemon,
	documentVersion: document?.version ?? 0,
	teams: document?.teams?.map(
		({id, keyDigests, priority, requestsPerSecond, burstRequests}) => ({
			name: id,
			keys: keyDigests.length,
			priority,
			requestsPerSecond,
			burstRequests,
		}),
	),
});
