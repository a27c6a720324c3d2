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

/** Shows what a daemon of a deployment formed from seeds knows of it. */
const showStatus = async (
	context: CommandContext,
	argv: CommonArguments,
): Promise<void> => {
	const client = createClient(context, argv);
	const status = await client.read<DeploymentStatus>('/status');
	writeResult(context, argv, status, () => formatStatus(status));
};

/** Adds `status`. */
export const addStatus = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'status',
		'show members, copies and repair, and the configuration in force, as a daemon formed from seeds sees them; --address is its metrics address',
		(command) => command,
		async (argv) => showStatus(context, argv),
	);
};
