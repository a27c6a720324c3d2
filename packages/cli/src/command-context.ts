import {ApiClient} from './api-client.ts';
import {createUsageError} from './cli-errors.ts';
import {formatJson, type Output} from './output.ts';

/** Dependencies of every command. */
export type CommandContext = {
	output: Output;
	environment: Record<string, string | undefined>;
	readInput: () => Promise<string>;
};

/** Options that every command takes. */
export type CommonArguments = {
	address?: string[];
	output?: string;
};

/**
 * Creates the client from `--address` or MARJORAMCOVE_ADDRESS (comma-separated).
 *
 * @throws ValidationError when no address is given or one is not `host:port`.
 */
export const createClient = (
	context: CommandContext,
	argv: CommonArguments,
): ApiClient => {
	const entries = argv.address?.length
		? argv.address
		: (context.environment.MARJORAMCOVE_ADDRESS ?? '').split(',');
	const addresses = entries
		.flatMap((entry) => entry.split(','))
		.map((entry) => entry.trim().replace(/^https?:\/\//v, ''))
		.filter((entry) => entry !== '');
	if (addresses.length === 0) {
		throw createUsageError(
			'No daemon address is given; pass --address host:port or set MARJORAMCOVE_ADDRESS.',
		);
	}

	for (const address of addresses) {
		if (!/^[^\s\/]+:\d{1,5}$/v.test(address)) {
			throw createUsageError(`The address ${address} is not host:port.`);
		}
	}

	return new ApiClient(addresses);
};

/** Writes a result as JSON with `--output json`, otherwise as text. */
export const writeResult = (
	context: CommandContext,
	argv: CommonArguments,
	result: unknown,
	text: () => string,
): void => {
	context.output.write(argv.output === 'json' ? formatJson(result) : text());
};

/**
 * Parses `key=value` options into labels.
 *
 * @throws ValidationError for an entry without `=`.
 * @example
 * ```ts
 * parseLabels(['agent=entry-coaching']); // {agent: 'entry-coaching'}
 * ```
 */
export const parseLabels = (
	entries: readonly string[] = [],
): Record<string, string> =>
	Object.fromEntries(
		entries.map((entry) => {
			const position = entry.indexOf('=');
			if (position <= 0) {
				throw createUsageError(`The label ${entry} is not key=value.`);
			}

			return [entry.slice(0, position), entry.slice(position + 1)];
		}),
	);
