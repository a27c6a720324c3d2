import {readFileSync} from 'node:fs';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {readSettings} from '@marjoramcove/settings';
import yargs from 'yargs';
import {runDaemon} from './run-daemon.ts';

const readVersion = (): string => {
	const file = new URL('../package.json', import.meta.url);
	const {version} = JSON.parse(readFileSync(file, 'utf8')) as {
		version: string;
	};
	return version;
};

const writeError = (error: unknown): void => {
	if (error instanceof MarjoramcoveError) {
		process.stderr.write(`${error.message}\nHint: ${error.hint}\n`);
	} else {
		process.stderr.write(`${(error as Error).message}\n`);
	}
};

const createParser = (args: string[], onFailure: (message: string) => void) =>
	yargs(args)
		.scriptName('marjoramcoved')
		.usage('$0 --settings FILE\n\nRuns a daemon of marjoramcove.')
		.option('settings', {
			type: 'string',
			describe: 'Settings file (YAML)',
			requiresArg: true,
			demandOption: true,
		})
		.option('check', {
			type: 'boolean',
			describe: 'Check the settings file and exit (0 when valid, 2 otherwise)',
		})
		.version(readVersion())
		.strict()
		.exitProcess(false)
		.fail((message: string | null, error: Error | undefined) => {
			onFailure(message ?? error?.message ?? 'The arguments are invalid.');
		});

/**
 * Runs the command line of the daemon and resolves with the exit code: 0 after a normal exit, 1 after
 * a failure, 2 for invalid arguments or settings.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2));
 * ```
 */
export const runCli = async (args: string[]): Promise<number> => {
	let usageError: string | undefined;
	const argv = await createParser(args, (message) => {
		usageError = message;
	}).parseAsync();
	if (argv.help === true || argv.version === true) {
		return 0;
	}

	if (usageError !== undefined) {
		process.stderr.write(`${usageError}\nSee marjoramcoved --help.\n`);
		return 2;
	}

	try {
		const settings = await readSettings(argv.settings);
		if (argv.check) {
			process.stdout.write(`The settings file ${argv.settings} is valid.\n`);
			return 0;
		}

		return await runDaemon(settings);
	} catch (error) {
		writeError(error);
		return 2;
	}
};
