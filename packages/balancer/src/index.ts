export {
	type BalancerSettings,
	chooseServer,
	DEFAULT_BALANCER_SETTINGS,
	estimateCostMs,
	type LastTurn,
	type ServerChoice,
} from './choose-server.ts';
export {type InFlightByServer, LoadLedger} from './load-ledger.ts';
export {NewsLedger, type NewsPosition} from './news-ledger.ts';
export {PartPopularity} from './part-popularity.ts';
export {
	Placement,
	type PlacementNews,
	type PlacementOptions,
	type PlacementRequest,
} from './placement.ts';
export {type PromptPart, RecentParts} from './recent-parts.ts';
export {
	type AttemptEnd,
	type AttemptKeys,
	ServerHealth,
	type UsualTimes,
	type WatchedAttempt,
} from './server-health.ts';
export {type ServerLoad, ServerTable, type SharedPart} from './server-table.ts';
export {TypicalTimes} from './typical-times.ts';
