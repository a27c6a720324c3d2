import {spawn} from 'node:child_process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';

/** Path of the built command-line client. */
export const commandLineBinary = fileURLToPath(
	new URL('../../../cli/dist/bin.js', import.meta.url),
);

export type CommandResult = {code: number | null; out: string; err: string};

/**
 * Runs a built binary of this repository and waits until it exits.
 *
 * @example
 * ```ts
 * const {code, out} = await runCommand(['list', 'daemons'], {MARJORAMCOVE_ADDRESS: address});
 * ```
 */
export const runCommand = async (
	arguments_: string[],
	environment: Record<string, string> = {},
	{binary = commandLineBinary, timeoutMs = 60_000, input = ''} = {},
): Promise<CommandResult> => {
	const child = spawn(process.execPath, [binary, ...arguments_], {
		stdio: ['pipe', 'pipe', 'pipe'],
		env: {...process.env, ...environment},
		timeout: timeoutMs,
	});
	child.stdin.end(input);
	const closed = new Promise<number | null>((resolve, reject) => {
		child.once('close', resolve);
		child.once('error', reject);
	});
	const [out, err] = await Promise.all([
		text(child.stdout),
		text(child.stderr),
	]);
	return {code: await closed, out, err};
};
