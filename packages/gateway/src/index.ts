export {
	type DirectoryApi,
	GatewayAdapter,
	type OperatorApi,
} from './gateway-adapter.ts';
export {
	type DaemonResources,
	DEFAULT_GATEWAY_TIMING,
	type GatewaySettings,
	type GatewayTiming,
} from './gateway-settings.ts';
export type {
	DeploymentStatus,
	MemberStatus,
	ShardStatus,
} from './describe-deployment.ts';
export type {QuotaUse} from './describe-quotas.ts';
export type {TeamsStatus, TeamStatus} from './describe-teams.ts';
export {runGateway} from './run-gateway.ts';
export type {SettingsReader} from './services/settings-service.ts';
export {
	deriveReplication,
	deriveTiming,
	type PlatformLimits,
} from './derive-timing.ts';
export type {RouteExplanation} from './entry/explain-route.ts';
