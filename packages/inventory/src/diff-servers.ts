import type {ListedServer} from './listed-server.ts';

/** What differs between two readings of a list. */
export type ServerChanges = {
	added: ListedServer[];
	removed: ListedServer[];
	/** Servers that began to leave. */
	draining: ListedServer[];
};

const isSameLife = (a: ListedServer, b: ListedServer): boolean =>
	a.address === b.address &&
	a.service === b.service &&
	a.bornAtMs === b.bornAtMs;

/**
 * Compares two readings. A server that started again, or moved, is removed and added.
 *
 * @example
 * ```ts
 * const {added, removed, draining} = diffServers(before, after);
 * ```
 */
export const diffServers = (
	before: readonly ListedServer[],
	after: readonly ListedServer[],
): ServerChanges => {
	const beforeById = new Map(before.map((server) => [server.id, server]));
	const afterById = new Map(after.map((server) => [server.id, server]));
	const isKnown = (server: ListedServer) => {
		const known = beforeById.get(server.id);
		return known !== undefined && isSameLife(known, server);
	};

	return {
		added: after.filter((server) => !isKnown(server)),
		removed: before.filter((server) => {
			const next = afterById.get(server.id);
			return next === undefined || !isSameLife(server, next);
		}),
		draining: after.filter(
			(server) =>
				server.isLeaving &&
				isKnown(server) &&
				!beforeById.get(server.id)!.isLeaving,
		),
	};
};
