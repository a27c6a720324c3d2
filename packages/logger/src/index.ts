export type {DroppedLines} from './bounded-writer.ts';
export {
	type ClosableLogger,
	createLogger,
	LOG_LEVELS,
	type LoggerOptions,
	type LogLevel,
} from './create-logger.ts';
export type {Logger} from 'pino';
