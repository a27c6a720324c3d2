import type {Argv} from 'yargs';
import type {CommandContext, CommonArguments} from '../command-context.ts';
import {describeEntry, listRows, listTargets} from './list.ts';
import {drainDaemon, replaceReplicas, showReplication} from './maintain.ts';
import {repairReplicas} from './repair.ts';

const timeoutOption = {
	type: 'number',
	describe: 'time to wait, in milliseconds; the operation continues afterwards',
} as const;

const addReplicationCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): Argv<CommonArguments> =>
	parser.command('replication', 'show or repair the replicated logs', (group) =>
		group
			.command(
				'status',
				'show leaders and replicas',
				(command) => command,
				async (argv) => showReplication(context, argv),
			)
			.command(
				'repair',
				'replace the replicas of each daemon that is down by a spare disk daemon',
				(command) => command.option('timeout-ms', timeoutOption),
				async (argv) => repairReplicas(context, argv),
			)
			.demandCommand(1, 'status or repair is missing.'),
	);

/** Adds the commands `list`, `describe`, `drain`, `replication` and `replace`. */
export const addOperatorCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser
		.command(
			'list <what>',
			'list programs, engines, upstreams, daemons or leaders',
			(command) =>
				command.positional('what', {
					choices: listTargets,
					demandOption: true,
				}),
			async (argv) => listRows(context, argv),
		)
		.command(
			'describe <what> <name>',
			'show every field of one entry',
			(command) =>
				command
					.positional('what', {choices: listTargets, demandOption: true})
					.positional('name', {type: 'string', demandOption: true}),
			async (argv) => describeEntry(context, argv),
		);
	addMaintenanceCommands(parser, context);
	addReplicationCommands(parser, context);
};

const addMaintenanceCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser
		.command(
			'drain <daemon>',
			'stop a daemon after it has finished its work',
			(command) =>
				command
					.positional('daemon', {type: 'string', demandOption: true})
					.option('wait', {
						type: 'boolean',
						default: true,
						describe: 'wait until the daemon has left',
					})
					.option('timeout-ms', timeoutOption),
			async (argv) => drainDaemon(context, argv),
		)
		.command(
			'replace <lost>',
			'replace the replicas of a lost disk VM',
			(command) =>
				command
					.positional('lost', {type: 'string', demandOption: true})
					.option('with', {
						type: 'string',
						demandOption: true,
						describe: 'daemon with an empty disk',
					})
					.option('group', {
						type: 'string',
						describe: 'only this replicated log',
					})
					.option('timeout-ms', timeoutOption),
			async (argv) => replaceReplicas(context, argv),
		);
};
