import type {DaemonId, IncarnationId, UpstreamId} from '@marjoramcove/types';

/** A process that holds an exported copy of the cache of a program from an engine. */
export type CopyHolder = {
	daemonId: DaemonId;
	incarnation: IncarnationId;
	/** Engine that the copy came from. */
	upstreamId: UpstreamId;
};

const copyHoldPattern =
	/^export:(?<daemonId>[^:]+):(?<incarnation>[^:]+):(?<upstreamId>.+)$/v;

/** Formats the name of the hold in the program record; upstream names contain no colon. */
export const formatCopyHolder = ({
	daemonId,
	incarnation,
	upstreamId,
}: CopyHolder): UpstreamId =>
	`export:${daemonId}:${incarnation}:${upstreamId}` as UpstreamId;

/** Parses the holder from the name of a hold; undefined for a hold of engine memory. */
export const parseCopyHolder = (hold: UpstreamId): CopyHolder | undefined =>
	copyHoldPattern.exec(hold)?.groups as CopyHolder | undefined;

/** Engine of a hold: the one that has the memory, or the one that the copy was exported from. */
export const engineOfHold = (hold: UpstreamId): UpstreamId =>
	parseCopyHolder(hold)?.upstreamId ?? hold;
