import type {
	Route,
	RoutingDocument,
	ServiceDefinition,
} from './routing-document.ts';

const normalizeHost = (host: string): string =>
	host.toLowerCase().replace(/:\d+$/u, '');

/**
 * Finds the route of a request: the one with the longest matching path prefix among the routes of its host.
 *
 * @example
 * ```ts
 * const route = new RouteTable(document).findRoute('Example.test:80', '/desk/orders?id=7');
 * ```
 */
export class RouteTable {
	readonly #document: RoutingDocument;
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #services: Map<string, ServiceDefinition>;

	constructor(document: RoutingDocument) {
		this.#document = document;
		this.#services = new Map(
			document.services.map((service) => [service.name, service]),
		);
		const longestFirst = document.routes.toSorted(
			(a, b) => b.pathPrefix.length - a.pathPrefix.length,
		);
		for (const route of longestFirst) {
			const host = normalizeHost(route.host);
			const routes = this.#routesByHost.get(host) ?? [];
			routes.push(route);
			this.#routesByHost.set(host, routes);
		}
	}

	get document(): RoutingDocument {
		return this.#document;
	}

	/** @param target - path and query, as sent by the caller. */
	findRoute(host: string, target: string): Route | undefined {
		const [path] = target.split('?', 1);
		return this.#routesByHost
			.get(normalizeHost(host))
			?.find((route) => path!.startsWith(route.pathPrefix));
	}

	service(name: string): ServiceDefinition | undefined {
		return this.#services.get(name);
	}
}

/**
 * Chooses a service of a route at random, in proportion to the weights.
 *
 * @param random - uniform random number in [0, 1).
 * @example
 * ```ts
 * const service = chooseService(route, Math.random());
 * ```
 */
export const chooseService = (route: Route, random: number): string => {
	const {services} = route;
	const totalWeight = services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random * totalWeight;
	for (const {service, weight} of services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return services.findLast(({weight}) => weight > 0)!.service;
};
