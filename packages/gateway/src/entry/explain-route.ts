import type {
	Placement,
	PlacementExplanation,
	PromptPart,
} from '@marjoramcove/balancer';
import type {RouteTable} from '@marjoramcove/routes';
import {asId, type AffinityKey} from '@marjoramcove/types';

/** What a daemon would choose now for a route. */
export type RouteExplanation = {
	route: string;
	/** Team of the question; the choice of a server does not depend on it. */
	team?: string;
	/** The services of the route with their weight, which one of them is drawn by. */
	services: Array<PlacementExplanation & {service: string; weight: number}>;
};

const readPrompt = (text: string | null): PromptPart[] | undefined =>
	text
		?.split(',')
		.map((part) => /^(?<id>.+):(?<tokens>\d+)$/u.exec(part)?.groups)
		.flatMap((groups) =>
			groups ? [{id: groups.id!, tokens: Number(groups.tokens)}] : [],
		);

/**
 * Explains the choice for a route from a query such as `route=chat&prompt=system:9000,own:100`.
 *
 * @returns `undefined` if the route is not known.
 * @example
 * ```ts
 * explainRoute(placement, table, new URLSearchParams({route: 'chat'}), performance.now());
 * ```
 */
export const explainRoute = (
	placement: Placement,
	table: RouteTable,
	query: URLSearchParams,
	nowMs: number,
): RouteExplanation | undefined => {
	const name = query.get('route');
	const route = table.document.routes.find((known) => known.name === name);
	if (!route) {
		return undefined;
	}

	const object = query.get('object');
	const hasPrompt = route.kind === 'stream' || query.has('prompt');
	return {
		route: route.name,
		team: query.get('team') ?? undefined,
		services: route.services.map(({service, weight}) => ({
			service,
			weight,
			...placement.explain(
				{
					service,
					programId: '',
					prompt:
						route.hasAffinity && hasPrompt
							? (readPrompt(query.get('prompt')) ?? [])
							: undefined,
					affinityKey:
						route.hasAffinity && object !== null
							? asId<AffinityKey>(object)
							: undefined,
					excludedIds: new Set(),
				},
				nowMs,
			),
		})),
	};
};
