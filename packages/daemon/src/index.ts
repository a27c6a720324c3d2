export {runCli} from './run-cli.ts';
export {runDaemon} from './run-daemon.ts';
