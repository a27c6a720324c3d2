import type {ListedServer} from './listed-server.ts';

/** Differences between two snapshots of the server list. */
export type ServerChanges = {
	added: ListedServer[];
	removed: ListedServer[];
	/** Servers that started draining. */
	draining: ListedServer[];
};

const isSameInstance = (a: ListedServer, b: ListedServer): boolean =>
	a.address === b.address &&
	a.service === b.service &&
	a.bornAtMs === b.bornAtMs;

/**
 * Compares two snapshots. A server that restarted, or changed its address or service, counts as removed
 * and added.
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
	const existedBefore = (server: ListedServer) => {
		const previous = beforeById.get(server.id);
		return previous !== undefined && isSameInstance(previous, server);
	};

	return {
		added: after.filter((server) => !existedBefore(server)),
		removed: before.filter((server) => {
			const next = afterById.get(server.id);
			return next === undefined || !isSameInstance(server, next);
		}),
		draining: after.filter(
			(server) =>
				server.isLeaving &&
				existedBefore(server) &&
				!beforeById.get(server.id)!.isLeaving,
		),
	};
};
