import type {
	DaemonId,
	DiskId,
	GroupId,
	IncarnationId,
} from '@marjoramcove/types';

/** `entry` serves callers, `control` holds the configuration, `state` holds the programs. */
export type FleetRole = 'control' | 'entry' | 'state';

/** Life of a process as other daemons see it. */
export type MemberPhase = 'starting' | 'ready' | 'draining';

/** A replicated group that a daemon leads. */
export type LedGroup = {
	groupId: GroupId;
	term: number;
	/** Disks with a copy that counts. */
	voters: DiskId[];
};

/** What a daemon tells of itself. */
export type FleetMember = {
	/** Address for other daemons; it identifies the daemon. */
	daemonId: DaemonId;
	/** Name for operators. */
	name: string;
	incarnation: IncarnationId;
	/** Counts the reports of one incarnation. */
	sequence: number;
	role: FleetRole;
	zone: string;
	phase: MemberPhase;
	/** Address for callers; only of an `entry`. */
	entryAddress?: string;
	/** Address for operators; only of a `control`. */
	controlAddress?: string;
	/** Only of a daemon with a disk. */
	diskId?: DiskId;
	ledGroups: LedGroup[];
	/** Version of the routing document that it handles requests by. */
	documentVersion: number;
};
