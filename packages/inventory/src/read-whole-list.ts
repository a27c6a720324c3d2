import type {InventorySource, ListedServer} from './listed-server.ts';

/** Bound of the pages of one reading, against a list that never ends. */
const MAX_PAGES = 200;

/**
 * Reads all pages of a list. The last entry of an id wins, because the list may change between pages.
 *
 * @throws MarjoramcoveError when a page could not be read; a part of a list is never returned.
 * @example
 * ```ts
 * const {servers, skippedEntries} = await readWholeList(source);
 * ```
 */
export const readWholeList = async (
	source: InventorySource,
): Promise<{servers: ListedServer[]; skippedEntries: number}> => {
	const servers = new Map<string, ListedServer>();
	let skippedEntries = 0;
	let pageToken: string | undefined;
	for (let page = 0; page < MAX_PAGES; page++) {
		const read = await source.readPage(pageToken);
		skippedEntries += read.skippedEntries;
		for (const server of read.servers) {
			servers.set(server.id, server);
		}

		pageToken = read.nextPage;
		if (pageToken === undefined) {
			break;
		}
	}

	return {servers: [...servers.values()], skippedEntries};
};
