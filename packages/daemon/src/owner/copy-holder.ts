import type {DaemonId, IncarnationId, UpstreamId} from '@marjoramcove/types';

/** A process that holds an exported copy of the cache that a program had on an engine. */
export type CopyHolder = {
	daemonId: DaemonId;
	incarnation: IncarnationId;
	/** Engine that the copy came from. */
	upstreamId: UpstreamId;
};

const pattern =
	/^export:(?<daemonId>[^:]+):(?<incarnation>[^:]+):(?<upstreamId>.+)$/v;

/** Name of the hold in the record of the program; names of upstreams have no colon. */
export const formatCopyHolder = ({
	daemonId,
	incarnation,
	upstreamId,
}: CopyHolder): UpstreamId =>
	`export:${daemonId}:${incarnation}:${upstreamId}` as UpstreamId;

/** Holder that a hold names; undefined for the hold of an engine. */
export const parseCopyHolder = (hold: UpstreamId): CopyHolder | undefined =>
	pattern.exec(hold)?.groups as CopyHolder | undefined;

/** Engine that a hold is about: the one with the memory, or the one that a copy came from. */
export const engineOfHold = (hold: UpstreamId): UpstreamId =>
	parseCopyHolder(hold)?.upstreamId ?? hold;
