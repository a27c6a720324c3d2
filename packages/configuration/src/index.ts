export type * from './commands.ts';
export type * from './resources.ts';
