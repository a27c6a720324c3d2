import {RefusedError} from '@marjoramcove/errors';
import type {
	DaemonEntry,
	DaemonsAnswer,
	GroupEntry,
	ReplicationAnswer,
} from '../api-types.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {runReplacement} from './maintain.ts';

/** A replica to be replaced, and the daemon that takes its place. */
export type PlannedReplacement = {
	groupId: string;
	lostDaemonId: string;
	newDaemonId: string;
};

/**
 * Plans a replacement for each replica that is down. A daemon that is live again with another disk
 * replaces itself; else a live daemon with a disk and without a replica of the group does, one in the
 * availability zone of no other replica first.
 *
 * @throws RefusedError when no spare daemon is left for a group.
 */
export const planRepairs = (
	groups: GroupEntry[],
	daemons: DaemonEntry[],
): PlannedReplacement[] => {
	const live = new Map(daemons.map((daemon) => [daemon.daemonId, daemon]));
	return groups.flatMap(({groupId, replicas}) => {
		const members = new Set(replicas.map(({daemonId}) => daemonId));
		const zones = new Set(
			replicas.map(({daemonId}) => live.get(daemonId)?.zone),
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
			.filter(({daemonId, isLive}) => isLive === false || !live.has(daemonId))
			.map(({daemonId}) => {
				const spare = live.get(daemonId) ?? spares.shift();
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

/** Replaces the replicas of all daemons that are down, one after the other. */
export const repairReplicas = async (
	context: CommandContext,
	argv: CommonArguments & {timeoutMs?: number},
): Promise<void> => {
	const client = createClient(context, argv);
	const {groups} = await client.read<ReplicationAnswer>(
		'/v1/operator/replication',
	);
	const {daemons} = await client.read<DaemonsAnswer>('/v1/operator/daemons');
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

	for (const [index, step] of plan.entries()) {
		context.output.writeError(
			`${index + 1}/${plan.length}: replacing ${step.lostDaemonId} by ${step.newDaemonId} in ${step.groupId}\n`,
		);
		await runReplacement(context, {
			...argv,
			lost: step.lostDaemonId,
			with: step.newDaemonId,
			group: step.groupId,
		});
	}

	writeResult(
		context,
		argv,
		{repaired: plan},
		() => `Replaced ${plan.length} replicas.\n`,
	);
};
