import type {FakeEngine} from '../engine/fake-engine.ts';
import type {FakeService} from '../fake-service.ts';

/** A configuration resource as the operator API accepts it (section 6 of the design). */
export type ResourceObject = {
	kind: string;
	name: string;
	labels: Record<string, string>;
	spec: Record<string, unknown>;
};

/** Returns the resource that registers an engine, with the label `fleet: main`. */
export const createEngineResource = (
	name: string,
	engine: FakeEngine,
	zone = 'zone-a',
): ResourceObject => ({
	kind: 'Upstream',
	name,
	labels: {fleet: 'main'},
	spec: {
		type: 'engine',
		address: engine.url,
		zone,
		models: [...engine.options.models],
		slots: engine.options.slots,
		checksFencing: engine.options.checksFencing,
	},
});

/** Operations of the services `entry-desk` and `order-desk`. */
export const operationsByService: Record<
	string,
	Record<string, {idempotent: boolean; timeoutMs: number}>
> = {
	'entry-desk': {
		'charge-fee': {idempotent: false, timeoutMs: 3000},
		'book-slot': {idempotent: false, timeoutMs: 3000},
		'list-slots': {idempotent: true, timeoutMs: 2000},
	},
	'order-desk': {
		'confirm-order': {idempotent: false, timeoutMs: 3000},
		'issue-credit-note': {idempotent: false, timeoutMs: 3000},
		'check-stock': {idempotent: true, timeoutMs: 2000},
	},
};

/** Returns the resource that registers a service, with the label `fleet: main`. */
export const createServiceResource = (
	name: string,
	service: FakeService,
	serviceName: string,
	zone = 'zone-a',
): ResourceObject => ({
	kind: 'Upstream',
	name,
	labels: {fleet: 'main'},
	spec: {
		type: 'service',
		service: serviceName,
		address: service.url,
		zone,
		slots: 16,
		checksFencing: false,
		operations: operationsByService[serviceName]!,
	},
});

/** Returns a selector that allows programs with the given labels to use the fleet `main`. */
export const createSelectorResource = (
	name: string,
	programs: Record<string, string>,
	budget?: {tokens?: number; turns?: number; wallTimeMs?: number},
): ResourceObject => ({
	kind: 'Selector',
	name,
	labels: {},
	spec: {
		programs,
		upstreams: {fleet: 'main'},
		...(budget && {budget}),
		priority: 0,
	},
});
