import {ValidationError} from '@marjoramcove/errors';
import type {KeyDigest} from '@marjoramcove/types';
import type {Route, RoutingDocument, Team} from './routing-document.ts';

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

const checkLimit = (team: Team, name: string, value = 0): void => {
	if (!(Number.isFinite(value) && value >= 0)) {
		reject(
			`The ${name} of team ${team.id} is ${value}; it must be a finite number that is not negative.`,
		);
	}
};

/** Validates teams. The messages name teams but never contain a key or its digest. */
const checkTeams = (teams: readonly Team[]): void => {
	const names = new Set<string>();
	const teamsByKey = new Map<KeyDigest, Team>();
	for (const team of teams) {
		if (team.id.trim() === '') {
			reject('A team has an empty name.');
		}

		if (names.has(team.id)) {
			reject(`Two teams have the name ${team.id}.`);
		}

		names.add(team.id);
		checkLimit(team, 'rate', team.requestsPerSecond);
		checkLimit(team, 'burst', team.burstRequests);
		for (const digest of team.keyDigests) {
			const other = teamsByKey.get(digest);
			if (other) {
				reject(
					other === team
						? `Team ${team.id} has a key twice.`
						: `Teams ${other.id} and ${team.id} share a key.`,
				);
			}

			teamsByKey.set(digest, team);
		}
	}
};

/**
 * Validates a routing document: unique service names, valid routes, no two routes with the same host and path
 * prefix, and teams with unique names and keys and valid quotas.
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

	checkTeams(document.teams ?? []);
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
