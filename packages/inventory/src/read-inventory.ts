import {RefusedError} from '@marjoramcove/errors';
import type {InventorySource, ListedServer} from './listed-server.ts';

/** Maximum number of pages per read; guards against endless pagination. */
const MAX_PAGES = 200;

/**
 * Reads all pages of the server list. If an id occurs more than once, the last entry wins, because the
 * list may change between pages.
 *
 * @throws MarjoramcoveError when a page could not be read; a partial list is never returned.
 * @example
 * ```ts
 * const {servers, skippedEntries} = await readInventory(source);
 * ```
 */
export const readInventory = async (
	source: InventorySource,
): Promise<{servers: ListedServer[]; skippedEntries: number}> => {
	const servers = new Map<string, ListedServer>();
	let skippedEntries = 0;
	let pageToken: string | undefined;
	for (let page = 0; page < MAX_PAGES; page++) {
		const result = await source.readPage(pageToken);
		skippedEntries += result.skippedEntries;
		for (const server of result.servers) {
			servers.set(server.id, server);
		}

		pageToken = result.nextPage;
		if (pageToken === undefined) {
			return {servers: [...servers.values()], skippedEntries};
		}
	}

	throw new RefusedError(`The server list has more than ${MAX_PAGES} pages.`, {
		reason: 'inventory-too-long',
		hint: 'The next poll tries again.',
	});
};
