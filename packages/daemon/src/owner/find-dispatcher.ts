import type {DaemonId, IncarnationId, UpstreamId} from '@marjoramcove/types';
import type {OwnerCore} from './owner-core.ts';

/** Finds the live daemon that dispatches for an upstream; undefined when no daemon accepts work. */
export const findDispatcher = (
	core: OwnerCore,
	upstreamId: UpstreamId,
): {daemonId: DaemonId; incarnation: IncarnationId} | undefined => {
	const daemonId = core.upstreams.dispatcherOf(upstreamId);
	const member = daemonId && core.configuration.members.get(daemonId);
	return member && {daemonId, incarnation: member.incarnation};
};
