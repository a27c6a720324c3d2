export {chooseServer, type ServerChoice} from './choose-server.ts';
export {type ServerLoad, ServerTable} from './server-table.ts';
