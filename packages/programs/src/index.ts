export type * from './commands.ts';
