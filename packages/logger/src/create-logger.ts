import type {Transform} from 'node:stream';
import {type Logger, pino, stdTimeFunctions} from 'pino';
import * as pinoLogfmt from 'pino-logfmt';

/** Levels of the `logs.level` setting, the most detailed first. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

export type LoggerOptions = {
	level: LogLevel;
	/** `stdout`, `stderr` or the path of a file that lines are appended to. */
	destination: string;
	/** Fields added to every line, such as the id of the daemon. */
	fields?: Record<string, string>;
};

/** A logger and the means to flush it before the process exits. */
export type ClosableLogger = {
	logger: Logger;
	/** Writes what is buffered and closes the destination. */
	close(): Promise<void>;
};

/** The default export of pino-logfmt, which its type declarations leave out. */
const {default: buildLogfmtStream} = pinoLogfmt as unknown as {
	default: (options: pinoLogfmt.LogFmtTransportOptions) => Promise<Transform>;
};

const DESTINATION_DESCRIPTORS: Record<string, number> = {stdout: 1, stderr: 2};

/**
 * Creates a logger that writes one line of key=value pairs per event.
 *
 * The lines are formatted on the main thread, because a worker thread would take memory that the
 * daemon does not have to spare.
 *
 * @throws Error when the destination file cannot be opened.
 * @example
 * ```ts
 * const {logger, close} = await createLogger({level: 'info', destination: 'stderr'});
 * logger.info({event: 'daemon-started', httpPort: 8101});
 * await close();
 * ```
 */
export const createLogger = async ({
	level,
	destination,
	fields = {},
}: LoggerOptions): Promise<ClosableLogger> => {
	const stream = await buildLogfmtStream({
		destination: DESTINATION_DESCRIPTORS[destination] ?? destination,
		escapeMultilineStrings: true,
		flattenNestedObjects: true,
		convertToSnakeCase: false,
	});
	const logger = pino(
		{
			level,
			base: fields,
			timestamp: stdTimeFunctions.isoTime,
			formatters: {level: (label) => ({level: label})},
		},
		stream,
	);
	const close = async () =>
		new Promise<void>((resolve) => {
			stream.once('close', resolve);
			stream.end();
		});
	return {logger, close};
};
