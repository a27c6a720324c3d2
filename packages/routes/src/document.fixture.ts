import type {Route, RoutingDocument} from './routing-document.ts';

/** Creates a route for tests; `changes` overrides fields. */
export const createRoute = (changes: Partial<Route> = {}): Route => ({
	name: 'r-1',
	host: 'example.test',
	pathPrefix: '/desk/',
	kind: 'idempotent',
	services: [{service: 'desk', weight: 1}],
	timeoutMs: 1000,
	targetLatencyMs: 100,
	targetGapMs: 0,
	priority: 0,
	maxAttempts: 2,
	isResumable: false,
	hasAffinity: false,
	isPublic: false,
	keepsTurns: false,
	retentionMs: 0,
	...changes,
});

/** Creates a routing document for tests with the services `desk` and `models`. */
export const createDocument = (routes: Route[]): RoutingDocument => ({
	version: 1,
	routes,
	services: ['desk', 'models'].map((name) => ({
		name,
		healthPath: '/health',
		maxConnections: 10,
	})),
	limits: {
		headerSizeBytes: 16_384,
		bodySizeBytes: 1_000_000,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
});
