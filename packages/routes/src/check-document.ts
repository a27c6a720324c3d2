import {ValidationError} from '@marjoramcove/errors';
import type {Route, RoutingDocument} from './routing-document.ts';

const HINT = 'Correct the document and send it again; nothing was changed.';

const reject = (message: string): never => {
	throw new ValidationError(message, HINT);
};

const checkRoute = (route: Route, serviceNames: ReadonlySet<string>): void => {
	const {name, pathPrefix, services, timeoutMs} = route;
	if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
		reject(
			`The prefix of route ${name} is ${pathPrefix}; it must begin and end with a slash.`,
		);
	}

	for (const {service, weight} of services) {
		if (!serviceNames.has(service)) {
			reject(`Route ${name} names the unknown service ${service}.`);
		}

		if (!(weight >= 0)) {
			reject(`Route ${name} gives the service ${service} a negative weight.`);
		}
	}

	const totalWeight = services.reduce((sum, {weight}) => sum + weight, 0);
	if (totalWeight <= 0) {
		reject(`The weights of route ${name} add up to 0.`);
	}

	if (timeoutMs <= 0) {
		reject(`The timeout of route ${name} is ${timeoutMs} ms.`);
	}
};

/**
 * Validates a routing document: unique service names, valid routes, and no two routes with the same host
 * and path prefix.
 *
 * @throws ValidationError that describes the first problem found.
 * @example
 * ```ts
 * checkDocument({version: 1, routes: [], services: [], limits});
 * ```
 */
export const checkDocument = (document: RoutingDocument): void => {
	const serviceNames = new Set(document.services.map(({name}) => name));
	if (serviceNames.size < document.services.length) {
		reject('Two services have the same name.');
	}

	const routeNames = new Map<string, string>();
	for (const route of document.routes) {
		checkRoute(route, serviceNames);
		const key = `${route.host.toLowerCase()} ${route.pathPrefix}`;
		const other = routeNames.get(key);
		if (other !== undefined) {
			reject(`Routes ${other} and ${route.name} share host and prefix.`);
		}

		routeNames.set(key, route.name);
	}
};
