import type {Argv} from 'yargs';
import type {CommandContext, CommonArguments} from '../command-context.ts';
import {applyFiles} from './apply.ts';
import {diffFiles} from './diff.ts';
import {deleteResources, getResources} from './get.ts';

const fileOption = {
	alias: 'f',
	type: 'string',
	array: true,
	requiresArg: true,
	describe: 'YAML file with resources; - is standard input',
} as const;
const pruneOption = {
	type: 'boolean',
	describe: 'delete the resources that the files do not contain',
} as const;
const baseRevisionOption = {
	type: 'number',
	describe: 'revision that the change is based on (default: the current one)',
} as const;
const operationIdOption = {
	type: 'string',
	describe: 'id of an earlier operation to retry; it is applied only once',
} as const;

/** Adds the commands `apply`, `diff`, `get` and `delete`. */
export const addResourceCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser
		.command(
			'apply',
			'create or change labels, selectors and upstreams from files',
			(command) =>
				command
					.option('file', {...fileOption, demandOption: true})
					.option('prune', pruneOption)
					.option('base-revision', baseRevisionOption)
					.option('operation-id', operationIdOption),
			async (argv) => applyFiles(context, argv),
		)
		.command(
			'diff',
			'show what apply would change',
			(command) =>
				command
					.option('file', {...fileOption, demandOption: true})
					.option('prune', pruneOption),
			async (argv) => diffFiles(context, argv),
		);
	addGetAndDeleteCommands(parser, context);
};

const addGetAndDeleteCommands = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser
		.command(
			'get [kind] [name]',
			'show resources',
			(command) =>
				command
					.positional('kind', {type: 'string'})
					.positional('name', {type: 'string'}),
			async (argv) => getResources(context, argv),
		)
		.command(
			'delete [kind] [name]',
			'delete resources',
			(command) =>
				command
					.positional('kind', {type: 'string'})
					.positional('name', {type: 'string'})
					.option('file', fileOption)
					.option('base-revision', baseRevisionOption)
					.option('operation-id', operationIdOption),
			async (argv) => deleteResources(context, argv),
		);
};
