export type * from './commands.ts';
export {decodePrograms, encodePrograms} from './encode-programs.ts';
export {
	encodeHistoryText,
	hashHistoryContent,
	type HistoryEntry,
} from './history-entries.ts';
export {isExpiryDue} from './expire-programs.ts';
export {shardOfProgram} from './program-id.ts';
export * from './queries.ts';
export type * from './results.ts';
export {
	createProgramsState,
	DEFAULT_PROGRAM_LIMITS,
	type ProgramLimits,
	type ProgramsState,
} from './state.ts';
export {stepPrograms} from './step-programs.ts';
