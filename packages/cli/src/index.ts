export type {CommandContext} from './command-context.ts';
export {exitCodes} from './exit-codes.ts';
export type {Output} from './output.ts';
export {runCli} from './run-cli.ts';
