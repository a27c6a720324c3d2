import type {
	DeploymentStatus,
	MemberStatus,
	ShardStatus,
} from '@marjoramcove/gateway';
import type {Argv} from 'yargs';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {type Column, formatTable} from '../output.ts';

const memberColumns: Array<Column<MemberStatus>> = [
	['DAEMON', (row) => row.name],
	['ROLE', (row) => row.role],
	['ZONE', (row) => row.zone],
	['PHASE', (row) => row.phase],
	['ADDRESS', (row) => row.daemonId],
];

const formatShards = ({shards, members}: DeploymentStatus): string => {
	const names = new Map(members.map(({diskId, name}) => [diskId, name]));
	const columns: Array<Column<ShardStatus>> = [
		['GROUP', (row) => row.groupId],
		['LEADER', (row) => row.leaderName ?? 'none'],
		['TERM', (row) => row.term],
		[
			'COPIES',
			({voters}) => voters.map((id) => names.get(id) ?? 'lost').join(','),
		],
		['STATE', (row) => (row.isComplete ? 'complete' : 'in repair')],
	];
	return formatTable(columns, shards);
};

const formatStatus = (status: DeploymentStatus): string => {
	const age =
		status.confirmedAgeMs === undefined
			? 'never confirmed'
			: `confirmed ${status.confirmedAgeMs} ms ago`;
	return [
		`${status.daemon} (${status.role}, ${status.phase}): configuration ${status.documentVersion}, ${age}; leader ${status.controlLeader ?? 'unknown'}; ${status.servers} servers, ${status.leavingServers} leaving; ${status.retiringDisks.length} disks emptied or being emptied`,
		'',
		formatTable(memberColumns, status.members),
		formatShards(status),
	].join('\n');
};

/** Shows a deployment that was formed from seeds, as one of its daemons sees it. */
const showStatus = async (
	context: CommandContext,
	argv: CommonArguments,
): Promise<void> => {
	const client = createClient(context, argv);
	const status = await client.getJson<DeploymentStatus>('/status');
	writeResult(context, argv, status, () => formatStatus(status));
};

/** Adds the `status` command. */
export const addStatusCommand = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'status',
		'show members, copies, repairs and the configuration in force, as seen by a daemon of a deployment that was formed from seeds; --address is its metrics address',
		(command) => command,
		async (argv) => showStatus(context, argv),
	);
};
