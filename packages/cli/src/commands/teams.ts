import type {
	DeploymentStatus,
	MemberStatus,
	TeamsStatus,
	TeamStatus,
} from '@marjoramcove/gateway';
import type {Argv} from 'yargs';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {type Column, formatTable} from '../output.ts';

const teamColumns: Array<Column<TeamStatus>> = [
	['TEAM', (row) => row.name],
	['KEYS', (row) => row.keys],
	['PRIORITY', (row) => row.priority],
	['RATE', (row) => row.requestsPerSecond ?? 'unlimited'],
	['BURST', (row) => row.burstRequests],
];

const formatTeams = ({daemon, documentVersion, teams}: TeamsStatus): string =>
	teams
		? `${daemon}: configuration ${documentVersion}, ${teams.length} teams\n\n${formatTable(teamColumns, teams)}`
		: `${daemon}: configuration ${documentVersion} has no teams; callers need no key`;

const showTeams = async (
	context: CommandContext,
	argv: CommonArguments,
): Promise<void> => {
	const status = await createClient(context, argv).getJson<TeamsStatus>(
		'/teams',
	);
	writeResult(context, argv, status, () => formatTeams(status));
};

/** Entry daemons that have not confirmed a version, as one daemon knows. */
export type UnconfirmedResult = {
	daemon: string;
	version: number;
	/** Whether the daemon that was asked receives the reports of all daemons. */
	isLeader: boolean;
	unconfirmed: MemberStatus[];
};

const unconfirmedColumns: Array<Column<MemberStatus>> = [
	['DAEMON', (row) => row.name],
	['ZONE', (row) => row.zone],
	['PHASE', (row) => row.phase],
	['CONFIRMED', (row) => row.documentVersion ?? 'not known'],
	['ADDRESS', (row) => row.daemonId],
];

const formatUnconfirmed = (
	{daemon, version, isLeader, unconfirmed}: UnconfirmedResult,
	leader: string | undefined,
): string => {
	const source = isLeader
		? `${daemon} (leader)`
		: `${daemon} (knows the daemons that report to it; ask the leader, ${leader ?? 'unknown'}, for all)`;
	return unconfirmed.length === 0
		? `${source}: all entry daemons have confirmed configuration ${version}`
		: `${source}: ${unconfirmed.length} entry daemons have not confirmed configuration ${version}\n\n${formatTable(unconfirmedColumns, unconfirmed)}`;
};

const showUnconfirmed = async (
	context: CommandContext,
	argv: CommonArguments & {documentVersion?: number},
): Promise<void> => {
	const status = await createClient(context, argv).getJson<DeploymentStatus>(
		'/status',
	);
	const version = argv.documentVersion ?? status.documentVersion;
	const result: UnconfirmedResult = {
		daemon: status.daemon,
		version,
		isLeader: status.controlLeader === status.daemon,
		unconfirmed: status.members.filter(
			({role, documentVersion}) =>
				role === 'entry' && (documentVersion ?? 0) < version,
		),
	};
	writeResult(context, argv, result, () =>
		formatUnconfirmed(result, status.controlLeader),
	);
};

/** Adds the commands `teams` and `unconfirmed`. */
export const addTeamCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'teams',
		'list the teams of the configuration in force with their number of keys, rate and burst; --address is the metrics address of a daemon',
		(command) => command,
		async (argv) => showTeams(context, argv),
	);
	parser.command(
		'unconfirmed [document-version]',
		'list the entry daemons that have not confirmed a version of the configuration (default: the one in force); --address is the metrics address of the leader',
		(command) =>
			command.positional('document-version', {
				type: 'number',
				describe: 'version of the configuration',
			}),
		async (argv) => showUnconfirmed(context, argv),
	);
};
