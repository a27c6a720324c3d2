import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {diffServers} from './diff-servers.ts';
import {InventorySource, type ListedServer} from './listed-server.ts';
import {readWholeList} from './read-whole-list.ts';

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
	it('takes a restart under the same id for another server', () => {
		const before = [createServer('s', {bornAtMs: 1})];
		const after = [createServer('s', {bornAtMs: 2})];
		expect(diffServers(before, after)).toEqual({
			added: after,
			removed: before,
			draining: [],
		});
	});

	it('names a server that began to leave once', () => {
		const ready = [createServer('s')];
		const leaving = [createServer('s', {isLeaving: true})];
		expect(diffServers(ready, leaving).draining).toEqual(leaving);
		expect(diffServers(leaving, leaving).draining).toEqual([]);
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
			throw new Error('The list does not answer.');
		}

		const isLast = page === this.#pages.length - 1;
		return {
			servers: this.#pages[page]!,
			skippedEntries: 1,
			nextPage: isLast ? undefined : String(page + 1),
		};
	}
}

describe('readWholeList', () => {
	const pages = [[createServer('a')], [createServer('b')]];

	it('joins the pages', async () => {
		const {servers, skippedEntries} = await readWholeList(
			new PagedSource(pages),
		);
		expect(servers.map(({id}) => id)).toEqual(['a', 'b']);
		expect(skippedEntries).toBe(2);
	});

	it('returns nothing when a page fails, so that no server seems to be gone', async () => {
		await expect(readWholeList(new PagedSource(pages, 1))).rejects.toThrow();
	});
});
