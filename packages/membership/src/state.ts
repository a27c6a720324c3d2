import type {DaemonId, IncarnationId, UpstreamId} from '@marjoramcove/types';
import type {MemberRecord, MemberReport} from './members.ts';

export type MembershipSettings = {
	/** Time without a heartbeat after which a daemon is no longer considered live. */
	memberTimeoutMs: number;
	/** Time without a heartbeat after which a daemon is removed. */
	forgetAfterMs: number;
	/** Time for which an upstream is considered leaving after a source last reported it as such. */
	leavingHoldMs: number;
};

export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
	memberTimeoutMs: 4000,
	forgetAfterMs: 600_000,
	leavingHoldMs: 10_000,
};

/** Maximum number of removed daemons that are kept for deltas. */
export const MAX_RECENT_REMOVALS = 1000;

/** Which sources report an upstream as leaving. */
export type UpstreamStatus = {
	/** Address whose host, with or without the port, is looked up in the VM list. */
	address: string;
	labelledLeaving: boolean;
	healthLeaving: boolean;
	listedLeaving: boolean;
	/** Last time at which any source reported the upstream as leaving. */
	lastLeavingMs: number;
};

/** Soft state that a daemon keeps about the others; rebuilt after a leader change. */
export type MembershipState = {
	/** Changes with each leader, so that versions of different leaders are never compared. */
	epoch: string;
	settings: MembershipSettings;
	startedAtMs: number;
	/** Latest time of an event. */
	clockMs: number;
	version: number;
	members: Map<DaemonId, MemberRecord>;
	/** Removed daemons with the version of their removal, for deltas. */
	removed: Map<DaemonId, number>;
	/** Newest version whose removal was discarded; a delta must start at this version or later. */
	oldestDeltaVersion: number;
	upstreams: Map<UpstreamId, UpstreamStatus>;
	/** Time at which the VM list in use was read; an older list is ignored. */
	vmListReadAtMs: number;
	leavingVms: Set<string>;
};

export type MembershipEvent =
	/** `sequence` increases with each heartbeat of an incarnation. */
	| {type: 'heartbeat'; sequence: number; report: MemberReport}
	| {type: 'tick'}
	/** A registrar still receives heartbeats from these incarnations. */
	| {
			type: 'alive';
			daemons: Array<{daemonId: DaemonId; incarnation: IncarnationId}>;
	  }
	/** Daemons whose messages no longer reach their registrar or, if they are registrars, the leader. */
	| {type: 'silent'; daemonIds: DaemonId[]}
	/** Upstreams registered in the configuration; `leaving` is the operator's label. */
	| {
			type: 'upstreams';
			upstreams: Array<{
				upstreamId: UpstreamId;
				address: string;
				leaving: boolean;
			}>;
	  }
	| {
			type: 'vm-list';
			readAtMs: number;
			vms: Array<{address: string; state: 'live' | 'leaving'}>;
	  }
	| {type: 'health'; upstreamId: UpstreamId; status: 'ready' | 'leaving'};

export type MembershipAction =
	| {type: 'members-changed'; version: number}
	| {type: 'daemon-lost'; daemonId: DaemonId; incarnation: string}
	| {type: 'upstream-leaving'; upstreamId: UpstreamId}
	| {type: 'upstream-back'; upstreamId: UpstreamId};

export type MembershipStep = {
	state: MembershipState;
	actions: MembershipAction[];
};

/**
 * Creates an empty membership.
 *
 * @example
 * ```ts
 * const state = createMembershipState({epoch: 'term-4', nowMs});
 * ```
 */
export const createMembershipState = ({
	epoch,
	nowMs,
	settings,
}: {
	epoch: string;
	nowMs: number;
	settings?: Partial<MembershipSettings>;
}): MembershipState => ({
	epoch,
	settings: {...DEFAULT_MEMBERSHIP_SETTINGS, ...settings},
	startedAtMs: nowMs,
	clockMs: nowMs,
	version: 0,
	members: new Map(),
	removed: new Map(),
	oldestDeltaVersion: 0,
	upstreams: new Map(),
	vmListReadAtMs: Number.NEGATIVE_INFINITY,
	leavingVms: new Set(),
});
