import yargs, {type Argv} from 'yargs';
import {chooseExitCode, exitCodes} from './exit-codes.ts';
import {createUsageError, describeError, formatError} from './cli-errors.ts';
import type {CommandContext, CommonArguments} from './command-context.ts';
import {addExplainCommand} from './commands/explain.ts';
import {addExplainRouteCommand} from './commands/explain-route.ts';
import {addOperatorCommands} from './commands/operator-commands.ts';
import {addProgramCommands} from './commands/program-commands.ts';
import {addQuotasCommand} from './commands/quotas.ts';
import {addResourceCommands} from './commands/resource-commands.ts';
import {addStatusCommand} from './commands/status.ts';
import {addTeamCommands} from './commands/teams.ts';
import {formatJson} from './output.ts';

const epilogue = `Exit codes: 0 ok, 1 failed, 2 bad usage or input, 3 conflict, 4 refused and not run, 5 outcome unknown.`;

const createParser = (
	arguments_: string[],
	context: CommandContext,
): Argv<CommonArguments> => {
	const parser = yargs(arguments_)
		.scriptName('marjoramcove')
		.usage('$0 <command>\n\nControls a marjoramcove cluster.')
		.option('address', {
			type: 'string',
			array: true,
			requiresArg: true,
			nargs: 1,
			describe:
				'host:port of a daemon; may be repeated (default: MARJORAMCOVE_ADDRESS)',
		})
		.option('output', {
			alias: 'o',
			choices: ['table', 'json', 'yaml'] as const,
			default: 'table',
			describe: 'json for scripts; yaml only with get',
		});
	addResourceCommands(parser, context);
	addOperatorCommands(parser, context);
	addProgramCommands(parser, context);
	addExplainCommand(parser, context);
	addExplainRouteCommand(parser, context);
	addStatusCommand(parser, context);
	addQuotasCommand(parser, context);
	addTeamCommands(parser, context);
	return parser
		.completion('completion', 'print a completion script for the shell')
		.demandCommand(1, 'A command is missing.')
		.strict()
		.recommendCommands()
		.epilogue(epilogue)
		.exitProcess(false)
		.showHelpOnFail(false)
		.wrap(100)
		.fail((message: string | null, error: Error | undefined) => {
			throw error ?? createUsageError(message ?? 'Invalid usage.');
		});
};

// Yargs prints help itself only if it may exit the process. Here bin.ts sets the exit code, so the
// callback writes the text.
const runParser = async (
	arguments_: string[],
	context: CommandContext,
): Promise<void> => {
	let failure: unknown;
	await createParser(arguments_, context).parseAsync(
		arguments_,
		{},
		(error, _argv, text) => {
			failure = error;
			if (text) {
				context.output.write(`${text}\n`);
			}
		},
	);
	if (failure) {
		throw failure as Error;
	}
};

/**
 * Runs the command line and returns its exit code; never throws.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(['list', 'daemons', '--address', '127.0.0.1:8101'], context);
 * ```
 */
export const runCli = async (
	arguments_: string[],
	context: CommandContext,
): Promise<number> => {
	try {
		await runParser(arguments_, context);
		return exitCodes.ok;
	} catch (error) {
		const wantsJson =
			arguments_.includes('json') || arguments_.includes('--output=json');
		context.output.writeError(
			wantsJson ? formatJson(describeError(error)) : formatError(error),
		);
		return chooseExitCode(error);
	}
};
