export {
	type BalancerSettings,
	chooseServer,
	DEFAULT_BALANCER_SETTINGS,
	estimateCostMs,
	type LastTurn,
	type PromptPart,
	type ServerChoice,
} from './choose-server.ts';
export {PartPopularity} from './part-popularity.ts';
export {RecentParts, type SentPart} from './recent-parts.ts';
export {type ServerLoad, ServerTable} from './server-table.ts';
export {type InFlightByServer, LoadLedger} from './load-ledger.ts';
