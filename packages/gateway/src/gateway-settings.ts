import type {DaemonId} from '@marjoramcove/types';
import type {FleetRole} from '@marjoramcove/fleet';
import type {LogLevel} from '@marjoramcove/logger';

/** Timing of the protocols between daemons and with callers. */
export type GatewayTiming = {
	/** Longest time that a control daemon holds a sync response while nothing changed. */
	syncWaitMs: number;
	/** Time without a report after which a daemon is considered lost. */
	memberTimeoutMs: number;
	/** Time without a quorum confirmation after which a daemon refuses new requests. */
	configurationLeaseMs: number;
	/** Interval at which the server list is read. */
	inventoryPollMs: number;
	/** Time for which a leaving server may still get requests that no other server can take. */
	leavingServerUseMs: number;
	/** Time for which callers may cache addresses. */
	addressTtlMs: number;
	/** Time after SIGTERM for which an entry daemon keeps serving callers that cached its address. */
	entryDrainMs: number;
	/** Time after SIGTERM at which the process exits, even if work is in flight. */
	stopDeadlineMs: number;
	/** Additional time for which budgets and turns are kept beyond the retention of their route. */
	retentionMarginMs: number;
	raftHeartbeatMs: number;
	electionTimeoutMinMs: number;
	electionTimeoutMaxMs: number;
	linkHeartbeatMs: number;
	linkTimeoutMs: number;
	/** Connect timeout. A powered-off VM does not respond at all, so the next one is tried after this time. */
	linkConnectTimeoutMs: number;
};

/** Bounds that apply where the routing document has teams. */
export type AccessSettings = {
	/** Time after the acknowledgement of a document after which a key that it removed must not be accepted by any daemon. */
	revocationLimitMs: number;
};

/** Precision with which the quotas of teams must be enforced over all daemons together. */
export type QuotaSettings = {
	/** Length of the sliding window in which requests are counted. */
	windowMs: number;
	/** Tolerated overrun as a share of the quota of a window. */
	overrunShare: number;
	/** Tolerated overrun in requests, in addition to the share. */
	overrunRequests: number;
};

/** Resources of the VM that a daemon may use. */
export type DaemonResources = {
	/** Number of cores, or a share of one, at the speed of a normal core. */
	cores: number;
	memoryBytes: number;
	maxDescriptors: number;
	linkBitsPerSecond: number;
};

/** Settings of a daemon. Its peers are not configured but discovered through seeds. */
export type GatewaySettings = {
	/** Name shown to operators and in logs. */
	name: string;
	/** Host and port used by other daemons; also identifies the daemon. */
	daemonId: DaemonId;
	role: FleetRole;
	zone: string;
	/** Control daemons to contact first. */
	seeds: DaemonId[];
	/** Whether the deployment starts for the first time, with empty disks. */
	isFirstFormation: boolean;
	/** Data directory on the disk; absent for `entry`. */
	dataFolder?: string;
	/** Addresses to listen on; the required ones depend on the role. */
	listen: {
		entry?: string;
		ready?: string;
		control?: string;
		directory?: string;
		metrics?: string;
	};
	replication: {
		/** Number of durable replicas of each program shard. */
		factor: number;
		/** Least number of program shards; more disks get more. */
		minShardCount: number;
	};
	timing: GatewayTiming;
	/** Absent if a removed key may stay in use until the configuration lease ends. */
	access?: AccessSettings;
	/** Absent if quotas of teams are not enforced. */
	quotas?: QuotaSettings;
	/** Whether entry daemons queue requests that the servers could only queue themselves. */
	hasAdmissionControl?: boolean;
	/** Absent if the resources of the VM are not known. */
	resources?: DaemonResources;
	logs: {level: LogLevel; destination: string};
};

/** Defaults of {@link GatewayTiming}; those that the platform limits are overridden. */
export const DEFAULT_GATEWAY_TIMING: GatewayTiming = {
	syncWaitMs: 500,
	memberTimeoutMs: 2000,
	configurationLeaseMs: 10_000,
	inventoryPollMs: 700,
	leavingServerUseMs: 900,
	addressTtlMs: 1500,
	entryDrainMs: 5000,
	stopDeadlineMs: 7500,
	retentionMarginMs: 15_000,
	raftHeartbeatMs: 80,
	electionTimeoutMinMs: 450,
	electionTimeoutMaxMs: 900,
	linkHeartbeatMs: 300,
	linkTimeoutMs: 1200,
	linkConnectTimeoutMs: 400,
};
