import {readFile} from 'node:fs/promises';
import type {Argv} from 'yargs';
import {createUsageError} from '../cli-errors.ts';
import {
	type CommandContext,
	type CommonArguments,
	writeResult,
} from '../command-context.ts';
import {explainRequest} from '../explain-request.ts';

type ExplainArguments = CommonArguments & {request: string; files?: string[]};

const explain = async (
	context: CommandContext,
	argv: ExplainArguments,
): Promise<void> => {
	const logTexts = argv.files?.length
		? await Promise.all(argv.files.map(async (file) => readFile(file, 'utf8')))
		: [await context.readInput()];
	const lines = logTexts.flatMap((text) => text.split('\n'));
	const explanation = explainRequest(lines, argv.request);
	if (!explanation) {
		throw createUsageError(`No log line names the request ${argv.request}.`);
	}

	writeResult(context, argv, explanation, () =>
		[
			...explanation.lines.map(({text}) => text),
			'',
			explanation.sentence,
			'',
		].join('\n'),
	);
};

/** Adds the `explain` command. */
export const addExplainCommand = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'explain <request> [files..]',
		'explain the outcome of a request from log files or standard input',
		(command) =>
			command
				.positional('request', {type: 'string', demandOption: true})
				.positional('files', {type: 'string', array: true}),
		async (argv) => explain(context, argv),
	);
};
