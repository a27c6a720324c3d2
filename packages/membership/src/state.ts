import type {DaemonId, IncarnationId, UpstreamId} from '@marjoramcove/types';
import type {MemberRecord, MemberReport} from './members.ts';

export type MembershipSettings = {
	/** Silence after which a daemon no longer counts as live. */
	memberTimeoutMs: number;
	/** Silence after which a daemon is forgotten. */
	forgetAfterMs: number;
	/** Time for which an upstream stays leaving after the last source said so. */
	leavingHoldMs: number;
};

export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
	memberTimeoutMs: 4000,
	forgetAfterMs: 600_000,
	leavingHoldMs: 10_000,
};

/** Forgotten daemons that are kept for deltas. */
export const KEPT_REMOVALS = 1000;

/** What is known of an upstream that may be leaving. */
export type UpstreamStatus = {
	/** Host and port, as the VM list names it. */
	address: string;
	labelledLeaving: boolean;
	healthLeaving: boolean;
	listedLeaving: boolean;
	/** Last time at which any source said that the upstream is leaving. */
	lastLeavingMs: number;
};

/** Soft state of one daemon about the others; rebuilt after a leader change. */
export type MembershipState = {
	/** Changes with each leader, so that versions of different leaders are never compared. */
	epoch: string;
	settings: MembershipSettings;
	startedAtMs: number;
	/** Newest time seen. */
	clockMs: number;
	version: number;
	members: Map<DaemonId, MemberRecord>;
	/** Daemons that were forgotten, with the version; for deltas. */
	removed: Map<DaemonId, number>;
	/** Newest version whose removals are no longer kept; a delta must begin at it or later. */
	removedFloor: number;
	upstreams: Map<UpstreamId, UpstreamStatus>;
	/** Time at which the VM list in use was read; an older list is ignored. */
	vmListReadAtMs: number;
	leavingVms: Set<string>;
};

export type MembershipEvent =
	/** `sequence` grows with each heartbeat of an incarnation. */
	| {type: 'heartbeat'; sequence: number; report: MemberReport}
	| {type: 'tick'}
	/** A registrar still hears these incarnations. */
	| {
			type: 'alive';
			daemons: Array<{daemonId: DaemonId; incarnation: IncarnationId}>;
	  }
	/** The registrar of these daemons, or the leader of a registrar, hears them no more. */
	| {type: 'silent'; daemonIds: DaemonId[]}
	/** The registered upstreams of the configuration, with the operator's label. */
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
 * Creates empty membership.
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
	removedFloor: 0,
	upstreams: new Map(),
	vmListReadAtMs: Number.NEGATIVE_INFINITY,
	leavingVms: new Set(),
});
