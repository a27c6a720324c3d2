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
	const texts = argv.files?.length
		? await Promise.all(argv.files.map(async (file) => readFile(file, 'utf8')))
		: [await context.readInput()];
	const lines = texts.flatMap((text) => text.split('\n'));
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

/** Adds `explain`. */
export const addExplain = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'explain <request> [files..]',
		'say from log files, or standard input, what became of a request and why',
		(command) =>
			command
				.positional('request', {type: 'string', demandOption: true})
				.positional('files', {type: 'string', array: true}),
		async (argv) => explain(context, argv),
	);
};
