export {
	type BalancerSettings,
	chooseServer,
	DEFAULT_BALANCER_SETTINGS,
	estimateCostMs,
	type LastTurn,
	type SelectionContext,
} from './choose-server.ts';
export {type InFlightByServer, LoadLedger} from './load-reports.ts';
export {NewsLedger, type NewsPosition} from './shared-part-log.ts';
export {SharedPartDetector} from './shared-part-detector.ts';
export {
	Placement,
	type PlacementNews,
	type PlacementOptions,
	type PlacementRequest,
} from './placement.ts';
export {type PromptPart, PrefixCacheEstimate} from './prefix-cache-estimate.ts';
export {
	type AttemptEnd,
	type BaselineKeys,
	ServerHealth,
	type BaselineDurations,
	type WatchedAttempt,
} from './server-health.ts';
export {type ServerLoad, ServerTable, type SharedPart} from './server-table.ts';
export {DurationAverages} from './duration-averages.ts';
