import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {diffServers} from './diff-servers.ts';
import {InventorySource, type ListedServer} from './listed-server.ts';
import {readInventory} from './read-inventory.ts';

const createServer = (
	id: string,
	changes: Partial<ListedServer> = {},
): ListedServer => ({
	id: asId<UpstreamId>(id),
	service: 'desk',
	address: `10.0.0.1:${id.length}`,
	zone: 'a',
	slots: 4,
	isLeaving: false,
	...changes,
});

describe('diffServers', () => {
	it('treats a restart under the same id as a different server', () => {
		const before = [createServer('s', {bornAtMs: 1})];
		const after = [createServer('s', {bornAtMs: 2})];
		expect(diffServers(before, after)).toEqual({
			added: after,
			removed: before,
			draining: [],
		});
	});

	it('reports a server as draining only when it starts to drain', () => {
		const before = [createServer('s')];
		const after = [createServer('s', {isLeaving: true})];
		expect(diffServers(before, after).draining).toEqual(after);
		expect(diffServers(after, after).draining).toEqual([]);
	});
});

class PagedSource extends InventorySource {
	readonly #pages: ListedServer[][];
	readonly #failingPage: number | undefined;

	constructor(pages: ListedServer[][], failingPage?: number) {
		super();
		this.#pages = pages;
		this.#failingPage = failingPage;
	}

	override async readPage(pageToken: string | undefined) {
		const page = Number(pageToken ?? 0);
		if (page === this.#failingPage) {
			throw new Error('The server list is unavailable.');
		}

		const isLast = page === this.#pages.length - 1;
		return {
			servers: this.#pages[page]!,
			skippedEntries: 1,
			nextPage: isLast ? undefined : String(page + 1),
		};
	}
}

describe('readInventory', () => {
	const pages = [[createServer('a')], [createServer('b')]];

	it('concatenates the pages', async () => {
		const {servers, skippedEntries} = await readInventory(
			new PagedSource(pages),
		);
		expect(servers.map(({id}) => id)).toEqual(['a', 'b']);
		expect(skippedEntries).toBe(2);
	});

	it('rejects when a page fails, because a partial list would make servers appear removed', async () => {
		await expect(readInventory(new PagedSource(pages, 1))).rejects.toThrow();
	});

	it('rejects a list whose pages do not end', async () => {
		// Guards against a partial list, and against a reader that never finishes.
		const endless = Array.from({length: 1000}, () => [createServer('a')]);
		await expect(readInventory(new PagedSource(endless))).rejects.toThrow(
			'more than 200 pages',
		);
	});
});
