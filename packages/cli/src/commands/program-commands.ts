import type {Argv} from 'yargs';
import type {CommandContext, CommonArguments} from '../command-context.ts';
import {
	callProgram,
	endProgram,
	followRequest,
	showHistory,
	startProgram,
} from './program.ts';

const addStartCommand = (
	group: Argv<CommonArguments>,
	context: CommandContext,
): Argv<CommonArguments> =>
	group.command(
		'start',
		'open a program',
		(command) =>
			command
				.option('label', {
					alias: 'l',
					type: 'string',
					array: true,
					requiresArg: true,
					describe: 'key=value; may be repeated',
				})
				.option('caller', {type: 'string', describe: 'team of the program'})
				.option('tokens', {type: 'number', describe: 'token budget'})
				.option('turns', {type: 'number', describe: 'turn budget'})
				.option('wall-time-ms', {type: 'number', describe: 'time budget'})
				.option('parent', {
					type: 'string',
					describe: 'program whose budget the new one shares',
				})
				.option('deadline-ms', {
					type: 'number',
					describe: 'time by which the program should have finished',
				})
				.option('operation-id', {
					type: 'string',
					describe:
						'id of an earlier start to retry; no second program is opened',
				}),
		async (argv) => startProgram(context, argv),
	);

const addCallCommand = (
	group: Argv<CommonArguments>,
	context: CommandContext,
): Argv<CommonArguments> =>
	group.command(
		'call <id>',
		'send the next call of a program',
		(command) =>
			command
				.positional('id', {type: 'string', demandOption: true})
				.option('model', {type: 'string', describe: 'model to call'})
				.option('message', {type: 'string', describe: 'message of the user'})
				.option('max-tokens', {
					type: 'number',
					describe: 'maximum number of generated tokens',
				})
				.option('tool', {
					type: 'string',
					describe: 'SERVICE/OPERATION to call instead of a model',
				})
				.option('input', {type: 'string', describe: 'JSON input of the tool'})
				.option('request', {
					type: 'string',
					describe: 'request id; the same id never runs twice',
				})
				.option('turn', {type: 'number', describe: 'expected turn number'}),
		async (argv) => callProgram(context, argv),
	);

const idPositional = {type: 'string', demandOption: true} as const;

/** Adds the `program` commands: `start`, `call`, `follow`, `history` and `end`. */
export const addProgramCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command('program', 'open, call, follow and end programs', (group) => {
		addStartCommand(group, context);
		addCallCommand(group, context);
		return group
			.command(
				'follow <id> <request>',
				'show the answer of a running or finished call',
				(command) =>
					command
						.positional('id', idPositional)
						.positional('request', idPositional),
				async (argv) => followRequest(context, argv),
			)
			.command(
				'history <id>',
				'show the history of a program',
				(command) => command.positional('id', idPositional),
				async (argv) => showHistory(context, argv),
			)
			.command(
				'end <id>',
				'end a program',
				(command) => command.positional('id', idPositional),
				async (argv) => endProgram(context, argv),
			)
			.demandCommand(1, 'start, call, follow, history or end is missing.');
	});
};
