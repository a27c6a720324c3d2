export {checkDocument} from './check-document.ts';
export {chooseService, RouteTable} from './route-table.ts';
export type {
	CallerLimits,
	EngineDefinition,
	RequestKind,
	Route,
	RoutingDocument,
	ServiceDefinition,
	Team,
	WeightedService,
} from './routing-document.ts';
