import {ValidationError} from '@marjoramcove/errors';
import type {Route, RoutingDocument} from './routing-document.ts';

const HINT = 'Correct the document and send it again; nothing was changed.';

const refuse = (message: string): never => {
	throw new ValidationError(message, HINT);
};

const checkRoute = (route: Route, serviceNames: ReadonlySet<string>): void => {
	const {name, pathPrefix, services, timeoutMs} = route;
	if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
		refuse(
			`The prefix of route ${name} is ${pathPrefix}; it must begin and end with a slash.`,
		);
	}

	for (const {service, weight} of services) {
		if (!serviceNames.has(service)) {
			refuse(`Route ${name} names the unknown service ${service}.`);
		}

		if (!(weight >= 0)) {
			refuse(`Route ${name} gives the service ${service} a negative weight.`);
		}
	}

	const totalWeight = services.reduce((sum, {weight}) => sum + weight, 0);
	if (totalWeight <= 0) {
		refuse(`The weights of route ${name} add up to 0.`);
	}

	if (timeoutMs <= 0) {
		refuse(`The timeout of route ${name} is ${timeoutMs} ms.`);
	}
};

/**
 * Checks a document as a whole.
 *
 * @throws ValidationError that names the first route or service that is wrong.
 * @example
 * ```ts
 * checkDocument({version: 1, routes: [], services: [], limits});
 * ```
 */
export const checkDocument = (document: RoutingDocument): void => {
	const serviceNames = new Set(document.services.map(({name}) => name));
	if (serviceNames.size < document.services.length) {
		refuse('Two services have the same name.');
	}

	const places = new Map<string, string>();
	for (const route of document.routes) {
		checkRoute(route, serviceNames);
		const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
		const other = places.get(place);
		if (other !== undefined) {
			refuse(`Routes ${other} and ${route.name} share host and prefix.`);
		}

		places.set(place, route.name);
	}
};
