export {
	type BalancerSettings,
	chooseServer,
	DEFAULT_BALANCER_SETTINGS,
	estimateCostMs,
	type LastTurn,
	type SelectionContext,
} from './choose-server.ts';
export {type InFlightByServer, LoadReports} from './load-reports.ts';
export {SharedPartLog, type SharedPartLogPosition} from './shared-part-log.ts';
export {SharedPartDetector} from './shared-part-detector.ts';
export {LeavingNotices, type LeavingSource} from './leaving-notices.ts';
export {LeavingReports, type ReportedLeaving} from './leaving-reports.ts';
export {
	type AppliedUpdate,
	Placement,
	type PlacementUpdate,
	type PlacementExplanation,
	type PlacementOptions,
	type PlacementRequest,
} from './placement.ts';
export {type PromptPart, PrefixCacheEstimate} from './prefix-cache-estimate.ts';
export {
	type AttemptOutcome,
	type BaselineKeys,
	ServerHealth,
	type BaselineDurations,
	type ObservedAttempt,
} from './server-health.ts';
export {type ServerLoad, ServerTable, type SharedPart} from './server-table.ts';
export {DurationAverages} from './duration-averages.ts';
export {AffinityRanking} from './affinity-ranking.ts';
export {deriveExchangeIntervalMs} from './derive-exchange-interval.ts';
export {DaemonRanking} from './daemon-ranking.ts';
export {RateShare, type RateStatement} from './rate-share.ts';
export {
	type ReportedRate,
	type ReportedRates,
	RateStatements,
} from './rate-statements.ts';
export {
	addSpeeds,
	limitReport,
	type ReportedSpeed,
	type ReportedSpeeds,
	SpeedReports,
} from './speed-reports.ts';
export {type SpeedFactors, ServerSpeed} from './server-speed.ts';
export {
	MIN_SPEED_FACTOR,
	ServiceSpeeds,
	type SpeedKind,
} from './service-speeds.ts';
export type {SpeedSum} from './speed-evidence.ts';
export {
	chooseSubset,
	ServerSubsets,
	type SubsetDaemon,
} from './server-subset.ts';
export {
	type ExplainedServer,
	explainChoice,
	type NotCandidateReason,
} from './explain-choice.ts';
