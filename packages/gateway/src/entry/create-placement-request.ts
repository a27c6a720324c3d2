import type {PlacementRequest} from '@marjoramcove/balancer';
import type {UpstreamId} from '@marjoramcove/types';
import type {RequestContext} from './request-context.ts';

/**
 * Describes a request to the placement of servers.
 *
 * @param excludedIds - servers that the request must not be sent to.
 * @example
 * ```ts
 * placement.recordSent(load, createPlacementRequest(request, new Set()), nowMs);
 * ```
 */
export const createPlacementRequest = (
	{route, head, service, last}: RequestContext,
	excludedIds: ReadonlySet<UpstreamId>,
): PlacementRequest => {
	const hasPrompt = route.kind === 'stream' || head.promptParts !== undefined;
	return {
		service,
		prompt:
			route.hasAffinity && hasPrompt ? (head.promptParts ?? []) : undefined,
		affinityKey: route.hasAffinity && !hasPrompt ? head.affinityKey : undefined,
		programId: head.programId ?? head.requestId ?? '',
		last,
		excludedIds,
	};
};
