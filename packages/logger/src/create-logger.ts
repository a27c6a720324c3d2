import {type Logger, pino} from 'pino';
import {BoundedWriter, type DroppedLines} from './bounded-writer.ts';
import {formatLine} from './format-line.ts';

/** Levels of the `logs.level` setting, the most verbose first. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

/** Options of {@link createLogger}. */
export type LoggerOptions = {
	level: LogLevel;
	/** `stdout`, `stderr` or the path of a file that lines are appended to. */
	destination: string;
	/** Fields added to every line, such as the id of the daemon. */
	fields?: Record<string, string>;
	/** Maximum bytes that are buffered for a slow reader; further lines are dropped. */
	bufferSizeBytes?: number;
};

/** A logger that can be flushed before the process exits. */
export type ClosableLogger = {
	logger: Logger;
	/** Lines that were dropped because their reader was too slow. */
	dropped: Readonly<DroppedLines>;
	/**
	 * Writes the buffered lines and closes the destination.
	 *
	 * @returns `false` if a write may still be in progress.
	 */
	close(): Promise<boolean>;
};

/** Space for about a thousand lines. */
const DEFAULT_BUFFER_SIZE_BYTES = 256 * 1024;

const DESTINATION_DESCRIPTORS: Record<string, number> = {stdout: 1, stderr: 2};

/** Levels that report failures. */
const IMPORTANT_LEVELS = new Set(['warn', 'error', 'fatal']);

/**
 * Creates a logger that writes one line of key=value pairs per event and never blocks on the reader of
 * its lines.
 *
 * Lines are formatted on the main thread, because the daemon has no memory to spare for a worker thread.
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
	bufferSizeBytes = DEFAULT_BUFFER_SIZE_BYTES,
}: LoggerOptions): Promise<ClosableLogger> => {
	const writer = await BoundedWriter.open({
		destination: DESTINATION_DESCRIPTORS[destination] ?? destination,
		bufferSizeBytes,
		formatDropped: (dropped) =>
			`${formatLine({
				level: 'warn',
				time: new Date().toISOString(),
				...fields,
				event: 'log-lines-dropped',
				...dropped,
			})}\n`,
	});
	const logger = pino({
		level,
		hooks: {
			// The hook replaces the JSON output of pino, which would have to be parsed again.
			logMethod([record], _method, levelNumber) {
				const label = pino.levels.labels[levelNumber]!;
				const line = formatLine({
					level: label,
					time: new Date().toISOString(),
					...fields,
					...(record as Record<string, unknown>),
				});
				const isImportant = IMPORTANT_LEVELS.has(label);
				writer.write(`${line}\n`, {isImportant});
			},
		},
	});
	return {
		logger,
		dropped: writer.dropped,
		close: async () => writer.close(),
	};
};
