import {asId, type GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {CHAIN_PAGE_BYTES} from '../peer-messages.ts';
import {type Chain, createTurnBody, measureTurnBody} from './chain.ts';

const DEADLINE_MS = 1000;

const input = Buffer.from('input');

const createChain = (pages: string[]): Chain => ({
	groupId: asId<GroupId>('shard-0'),
	lengthBytes: pages.join('').length,
	firstPage: Buffer.from(pages[0]!),
	async *readPages() {
		for (const page of pages) {
			yield Buffer.from(page);
		}
	},
});

describe('the body of a turn', () => {
	it('is the input when there is no chain', () => {
		expect(createTurnBody(undefined, input, DEADLINE_MS)).toBe(input);
		expect(measureTurnBody(undefined, input)).toBe(0);
	});

	it('is joined when the chain has one page', () => {
		const chain = createChain(['chain;']);
		expect(createTurnBody(chain, input, DEADLINE_MS)).toEqual(
			Buffer.from('chain;input'),
		);
		expect(measureTurnBody(chain, input)).toBe('chain;chain;input'.length);
	});

	it('is read anew for each attempt when the chain has several pages', async () => {
		// Guards against a turn that another server gets without the pages that the first one has read.
		const chain = createChain(['one;', 'two;']);
		const body = createTurnBody(chain, input, DEADLINE_MS);
		if (body instanceof Uint8Array) {
			throw new TypeError('The body is joined.');
		}

		expect(body.lengthBytes).toBe('one;two;input'.length);
		for (let attempt = 0; attempt < 2; attempt++) {
			const chunks: Uint8Array[] = [];
			for await (const chunk of body.read()) {
				chunks.push(chunk);
			}

			expect(Buffer.concat(chunks).toString()).toBe('one;two;input');
		}

		expect(measureTurnBody(chain, input)).toBe(
			'one;'.length + CHAIN_PAGE_BYTES,
		);
	});
});
