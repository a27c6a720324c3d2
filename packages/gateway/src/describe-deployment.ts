import type {
	FleetMember,
	FleetRole,
	MemberPhase,
	MembershipTable,
} from '@marjoramcove/fleet';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import {findShardLeader} from './find-shard-leader.ts';
import type {FleetView} from './fleet-view.ts';
import type {GatewaySettings} from './gateway-settings.ts';

/** Status of a daemon as known to the reporting daemon. */
export type MemberStatus = {
	name: string;
	daemonId: DaemonId;
	role: FleetRole;
	zone: string;
	phase: MemberPhase;
	/** Only present for daemons that have a disk. */
	diskId?: DiskId;
	/**
	 * Version of the routing document that an entry daemon confirmed and applies. Only known to control daemons
	 * that receive its reports; the leader receives those of all daemons.
	 */
	documentVersion?: number;
};

/** A program shard and its durable replicas, as last reported by its leader. */
export type ShardStatus = {
	groupId: GroupId;
	leaderName?: string;
	term?: number;
	/** Disks that hold a voting replica. */
	voters: DiskId[];
	/** Whether all configured replicas are on disks of live daemons that are not being emptied. */
	isComplete: boolean;
};

/** State of the deployment as known to one daemon. */
export type DeploymentStatus = {
	daemon: string;
	role: FleetRole;
	phase: MemberPhase;
	/** Version of the routing document that this daemon applies; 0 if none is known. */
	documentVersion: number;
	/** Age of the last quorum confirmation in milliseconds; absent if there was none. */
	confirmedAgeMs?: number;
	/** Leader of the configuration group, if known. */
	controlLeader?: string;
	members: MemberStatus[];
	shards: ShardStatus[];
	/** Disks that are being emptied or have been emptied. */
	retiringDisks: DiskId[];
	/** Number of listed servers, including draining ones. */
	servers: number;
	/** Number of listed servers that are draining. */
	leavingServers: number;
};

const describeMember = (
	member: FleetMember,
	reports: MembershipTable | undefined,
): MemberStatus => {
	const {name, daemonId, role, zone, phase, diskId} = member;
	// The published members leave the version out, because it changes often.
	const documentVersion =
		reports?.members.get(daemonId)?.report.documentVersion;
	return {
		name,
		daemonId,
		role,
		zone,
		phase,
		diskId,
		...(role === 'entry' && {documentVersion}),
	};
};

const describeShard = (
	groupId: GroupId,
	{members, topics}: FleetView,
	replicationFactor: number,
): ShardStatus => {
	const leaderId = findShardLeader(members, groupId);
	const leader = members.find(({daemonId}) => daemonId === leaderId);
	const led = leader?.ledGroups.find((group) => group.groupId === groupId);
	const retiring = new Set(topics.shardMap?.retiringDisks);
	const usable = new Set(
		members.flatMap(({diskId}) =>
			diskId === undefined || retiring.has(diskId) ? [] : [diskId],
		),
	);
	const voters = led?.voters ?? [];
	return {
		groupId,
		leaderName: leader?.name,
		term: led?.term,
		voters,
		isComplete:
			voters.length >= replicationFactor &&
			voters.every((diskId) => usable.has(diskId)),
	};
};

/**
 * Describes the deployment as known to a daemon: members, the replicas of each shard, and the current
 * configuration.
 *
 * @example
 * ```ts
 * describeDeployment({view, settings, phase}, performance.now()).shards.every(({isComplete}) => isComplete);
 * ```
 */
export const describeDeployment = (
	{
		view,
		settings,
		phase,
		memberReports,
	}: {
		view: FleetView;
		settings: GatewaySettings;
		phase: MemberPhase;
		memberReports?: MembershipTable;
	},
	nowMs: number,
): DeploymentStatus => {
	const {topics, members, servers, leaderId} = view;
	const confirmedAgeMs = Math.round(nowMs - view.confirmedAtMs);
	return {
		daemon: settings.name,
		role: settings.role,
		phase,
		documentVersion: topics.document?.version ?? 0,
		confirmedAgeMs: Number.isFinite(confirmedAgeMs)
			? confirmedAgeMs
			: undefined,
		controlLeader: members.find(({daemonId}) => daemonId === leaderId)?.name,
		members: members.map((member) => describeMember(member, memberReports)),
		shards: (topics.shardMap?.shards ?? []).map(({groupId}) =>
			describeShard(groupId, view, settings.replication.factor),
		),
		retiringDisks: topics.shardMap?.retiringDisks ?? [],
		servers: servers.length,
		leavingServers: servers.filter(({isLeaving}) => isLeaving).length,
	};
};
