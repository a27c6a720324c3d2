import {RefusedError} from '@marjoramcove/errors';
import type {
	DaemonEntry,
	DaemonsResponse,
	GroupEntry,
	ReplicationResponse,
} from '../api-types.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {runReplacement} from './maintain.ts';

/** A replica to replace and the daemon that takes its place. */
export type PlannedReplacement = {
	groupId: string;
	lostDaemonId: string;
	newDaemonId: string;
};

/**
 * Plans a replacement for each replica that is down. If its daemon is live again with another disk, the
 * daemon replaces itself. Otherwise the plan takes a live daemon that has a disk and no replica of the
 * group, preferring one in an availability zone without another replica.
 *
 * @throws RefusedError when no spare daemon is left for a group.
 */
export const planRepairs = (
	groups: GroupEntry[],
	daemons: DaemonEntry[],
): PlannedReplacement[] => {
	const liveDaemons = new Map(
		daemons.map((daemon) => [daemon.daemonId, daemon]),
	);
	return groups.flatMap(({groupId, replicas}) => {
		const members = new Set(replicas.map(({daemonId}) => daemonId));
		const zones = new Set(
			replicas.map(({daemonId}) => liveDaemons.get(daemonId)?.zone),
		);
		const spares = daemons
			.filter(
				({daemonId, roles}) =>
					!members.has(daemonId) && (roles as string[]).includes('state'),
			)
			.toSorted(
				(a, b) => Number(zones.has(a.zone)) - Number(zones.has(b.zone)),
			);
		return replicas
			.filter(
				({daemonId, isLive}) => isLive === false || !liveDaemons.has(daemonId),
			)
			.map(({daemonId}) => {
				const spare = liveDaemons.get(daemonId) ?? spares.shift();
				if (!spare) {
					throw new RefusedError(
						`No spare daemon with a disk is live for group ${groupId}.`,
						{
							reason: 'no-spare-daemon',
							hint: 'Start a daemon with the role state and an empty data folder, then repeat the command.',
						},
					);
				}

				return {
					groupId,
					lostDaemonId: daemonId,
					newDaemonId: spare.daemonId,
				};
			});
	});
};

/** Replaces the replicas of all daemons that are down, one at a time. */
export const repairReplicas = async (
	context: CommandContext,
	argv: CommonArguments & {timeoutMs?: number},
): Promise<void> => {
	const client = createClient(context, argv);
	const {groups} = await client.getJson<ReplicationResponse>(
		'/v1/operator/replication',
	);
	const {daemons} = await client.getJson<DaemonsResponse>(
		'/v1/operator/daemons',
	);
	const plan = planRepairs(groups, daemons);
	if (plan.length === 0) {
		writeResult(
			context,
			argv,
			{repaired: []},
			() => 'All replicas are on live daemons.\n',
		);
		return;
	}

	for (const [index, replacement] of plan.entries()) {
		context.output.writeError(
			`${index + 1}/${plan.length}: replacing ${replacement.lostDaemonId} by ${replacement.newDaemonId} in ${replacement.groupId}\n`,
		);
		await runReplacement(context, {
			...argv,
			lost: replacement.lostDaemonId,
			with: replacement.newDaemonId,
			group: replacement.groupId,
		});
	}

	writeResult(
		context,
		argv,
		{repaired: plan},
		() => `Replaced ${plan.length} replicas.\n`,
	);
};
