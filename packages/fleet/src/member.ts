import type {
	DaemonId,
	DiskId,
	GroupId,
	IncarnationId,
} from '@marjoramcove/types';

/** `entry` serves callers, `control` stores the configuration, `state` stores the programs. */
export type FleetRole = 'control' | 'entry' | 'state';

/** Lifecycle phase of a daemon as seen by other daemons. */
export type MemberPhase = 'starting' | 'ready' | 'draining';

/** A replicated group that a daemon leads. */
export type GroupLeadership = {
	groupId: GroupId;
	term: number;
	/** Disks that hold a voting replica. */
	voters: DiskId[];
};

/** Capacity of a daemon for requests of callers. */
export type MemberCapacity = {
	/** Cores that it can use, limited by its other resources. */
	cores: number;
	/** 1 near a limit of its memory or link, 2 at it; absent below. Changes at most every few seconds. */
	pressure?: number;
};

/** Status report of a daemon. */
export type FleetMember = {
	/** Address used by other daemons; also identifies the daemon. */
	daemonId: DaemonId;
	/** Name shown to operators. */
	name: string;
	incarnation: IncarnationId;
	/** Sequence number of the report within its incarnation. */
	sequence: number;
	role: FleetRole;
	zone: string;
	phase: MemberPhase;
	/** Address used by callers; only present for role `entry`. */
	entryAddress?: string;
	/** Address used by operators; only present for role `control`. */
	controlAddress?: string;
	/** Only present for daemons that have a disk. */
	diskId?: DiskId;
	ledGroups: GroupLeadership[];
	/** Version of the routing document that the daemon applies to requests. */
	documentVersion: number;
	/** Absent if the resources are not known, and for daemons of an earlier version. */
	capacity?: MemberCapacity;
};
