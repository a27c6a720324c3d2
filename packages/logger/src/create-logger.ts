import {type Logger, pino} from 'pino';
import {BoundedWriter, type DroppedLines} from './bounded-writer.ts';
import {formatLine} from './format-line.ts';

/** Levels of the `logs.level` setting, the most detailed first. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

export type LoggerOptions = {
	level: LogLevel;
	/** `stdout`, `stderr` or the path of a file that lines are appended to. */
	destination: string;
	/** Fields added to every line, such as the id of the daemon. */
	fields?: Record<string, string>;
	/** Bytes of lines that may wait for a slow reader before lines are left out. */
	bufferSizeBytes?: number;
};

/** A logger and the means to flush it before the process exits. */
export type ClosableLogger = {
	logger: Logger;
	/** Lines that were left out because their reader was too slow. */
	dropped: Readonly<DroppedLines>;
	/** Writes what is waiting and closes the destination. */
	close(): Promise<void>;
};

/** About a thousand lines. */
const DEFAULT_BUFFER_SIZE_BYTES = 256 * 1024;

const DESTINATION_DESCRIPTORS: Record<string, number> = {stdout: 1, stderr: 2};

/** Levels that tell of something that failed. */
const IMPORTANT_LEVELS = new Set(['warn', 'error', 'fatal']);

/**
 * Creates a logger that writes one line of key=value pairs per event and never waits for the reader of
 * its lines.
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
	bufferSizeBytes = DEFAULT_BUFFER_SIZE_BYTES,
}: LoggerOptions): Promise<ClosableLogger> => {
	const writer = await BoundedWriter.open({
		destination: DESTINATION_DESCRIPTORS[destination] ?? destination,
		bufferSizeBytes,
		describeDropped: (dropped) =>
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
			// Lines are written from here: the JSON of pino would only be parsed again.
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
