import type {FleetMember, FleetRole, MemberPhase} from '@marjoramcove/fleet';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import {findShardLeader} from './find-shard-leader.ts';
import type {FleetView} from './fleet-view.ts';
import type {GatewaySettings} from './gateway-settings.ts';

/** A daemon as this one knows it. */
export type MemberStatus = {
	name: string;
	daemonId: DaemonId;
	role: FleetRole;
	zone: string;
	phase: MemberPhase;
	/** Only of a daemon with a disk. */
	diskId?: DiskId;
};

/** A shard of programs and its durable copies, as its newest leader reported them. */
export type ShardStatus = {
	groupId: GroupId;
	leaderName?: string;
	term?: number;
	/** Disks with a copy that counts. */
	voters: DiskId[];
	/** Whether every wanted copy is on the disk of a live daemon that is not being emptied. */
	isComplete: boolean;
};

/** What one daemon knows of its deployment. */
export type DeploymentStatus = {
	daemon: string;
	role: FleetRole;
	phase: MemberPhase;
	/** Version of the routing document in force here; 0 when none is known. */
	documentVersion: number;
	/** Age of the last confirmation by a quorum, in milliseconds; absent when there was none. */
	confirmedAgeMs?: number;
	/** Leader of the configuration group, as far as it is known. */
	controlLeader?: string;
	members: MemberStatus[];
	shards: ShardStatus[];
	/** Disks that are being emptied, or were. */
	retiringDisks: DiskId[];
	/** Servers of the list, and how many of them are leaving. */
	servers: number;
	leavingServers: number;
};

const describeMember = (member: FleetMember): MemberStatus => {
	const {name, daemonId, role, zone, phase, diskId} = member;
	return {name, daemonId, role, zone, phase, diskId};
};

const describeShard = (
	groupId: GroupId,
	{members, topics}: FleetView,
	copies: number,
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
			voters.length >= copies && voters.every((diskId) => usable.has(diskId)),
	};
};

/**
 * Describes what a daemon knows of its deployment: members, the copies of each shard, and the
 * configuration in force.
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
	}: {view: FleetView; settings: GatewaySettings; phase: MemberPhase},
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
		members: members.map((member) => describeMember(member)),
		shards: (topics.shardMap?.shards ?? []).map(({groupId}) =>
			describeShard(groupId, view, settings.replication.factor),
		),
		retiringDisks: topics.shardMap?.retiringDisks ?? [],
		servers: servers.length,
		leavingServers: servers.filter(({isLeaving}) => isLeaving).length,
	};
};
