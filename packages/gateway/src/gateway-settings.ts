import type {DaemonId} from '@marjoramcove/types';
import type {FleetRole} from '@marjoramcove/fleet';
import type {LogLevel} from '@marjoramcove/logger';

/** Times of the protocols between daemons and towards callers. */
export type GatewayTiming = {
	/** Longest time that a control daemon holds an answer without news. */
	syncWaitMs: number;
	/** Silence after which a daemon counts as lost. */
	memberSilenceMs: number;
	/** Time after which a daemon that has not confirmed its configuration refuses new work. */
	configurationLeaseMs: number;
	/** Interval of the readings of the list of servers. */
	inventoryPollMs: number;
	/** Time for which callers may keep addresses. */
	addressTtlMs: number;
	/** Time after SIGTERM for which an entry daemon goes on serving callers that have its address. */
	entryDrainMs: number;
	/** Time after SIGTERM at which the process ends, whatever is under way. */
	stopDeadlineMs: number;
	/** Time for which budgets and turns are kept beyond the retention of their route. */
	retentionMarginMs: number;
	raftHeartbeatMs: number;
	electionTimeoutMinMs: number;
	electionTimeoutMaxMs: number;
	linkHeartbeatMs: number;
	linkSilenceMs: number;
	/** A VM without power answers nothing; another one is tried after this time. */
	linkConnectMs: number;
};

/** Settings of a daemon whose peers are not listed: it finds them from seeds. */
export type GatewaySettings = {
	/** Name for operators and logs. */
	name: string;
	/** Address for other daemons, host and port; it identifies the daemon. */
	daemonId: DaemonId;
	role: FleetRole;
	zone: string;
	/** Control daemons to ask first. */
	seeds: DaemonId[];
	/** The deployment starts for the first time, with empty disks. */
	isFirstFormation: boolean;
	/** Folder of the disk; absent for `entry`. */
	dataFolder?: string;
	/** Addresses to listen on; which ones are needed depends on the role. */
	listen: {
		entry?: string;
		ready?: string;
		control?: string;
		directory?: string;
		metrics?: string;
	};
	replication: {
		/** Durable copies of each shard of programs. */
		factor: number;
		shardCount: number;
	};
	timing: GatewayTiming;
	logs: {level: LogLevel; destination: string};
};

/** Defaults of {@link GatewayTiming}; an adapter replaces those that its platform prescribes. */
export const DEFAULT_GATEWAY_TIMING: GatewayTiming = {
	syncWaitMs: 500,
	memberSilenceMs: 2000,
	configurationLeaseMs: 10_000,
	inventoryPollMs: 700,
	addressTtlMs: 1500,
	entryDrainMs: 5000,
	stopDeadlineMs: 7500,
	retentionMarginMs: 15_000,
	raftHeartbeatMs: 80,
	electionTimeoutMinMs: 450,
	electionTimeoutMaxMs: 900,
	linkHeartbeatMs: 300,
	linkSilenceMs: 1200,
	linkConnectMs: 400,
};
