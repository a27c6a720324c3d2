import type {ModelEngine} from '../engine/model-engine.ts';
import type {PlainService} from '../plain-service.ts';

/** A resource as a plain object, in the form of section 6 of the design. */
export type PlainResource = {
	kind: string;
	name: string;
	labels: Record<string, string>;
	spec: Record<string, unknown>;
};

/** Registration of an engine, with the label `fleet: main`. */
export const describeEngine = (
	name: string,
	engine: ModelEngine,
	zone = 'zone-a',
): PlainResource => ({
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

/** Operations of the entry desk and of the order desk. */
export const deskOperations: Record<
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

/** Registration of a service, with the label `fleet: main`. */
export const describeService = (
	name: string,
	service: PlainService,
	desk: string,
	zone = 'zone-a',
): PlainResource => ({
	kind: 'Upstream',
	name,
	labels: {fleet: 'main'},
	spec: {
		type: 'service',
		service: desk,
		address: service.url,
		zone,
		slots: 16,
		checksFencing: false,
		operations: deskOperations[desk]!,
	},
});

/** A selector that lets programs with these labels use the fleet `main`. */
export const describeSelector = (
	name: string,
	programs: Record<string, string>,
	budget?: {tokens?: number; turns?: number; wallTimeMs?: number},
): PlainResource => ({
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
