import {asId, type GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import type {Chain} from './chain.ts';
import {
	joinText,
	MAX_TEXT_BYTES,
	PART_BYTES,
	splitText,
	type TurnText,
} from './turn-text.ts';

const PAGE_BYTES = 1000;

const createChain = (text: Buffer): Chain => ({
	groupId: asId<GroupId>('shard-0'),
	lengthBytes: text.length,
	firstPage: text.subarray(0, PAGE_BYTES),
	async *readPages() {
		for (let offset = 0; offset < text.length; offset += PAGE_BYTES) {
			yield text.subarray(offset, offset + PAGE_BYTES);
		}
	},
});

const collect = async (text: TurnText): Promise<Uint8Array[]> => {
	const parts: Uint8Array[] = [];
	for await (const part of splitText(text, 1000)) {
		parts.push(part);
	}

	return parts;
};

const output = Buffer.from('output');

describe('the text of a turn', () => {
	it('is joined while it is short', () => {
		expect(
			joinText({
				copiedChain: createChain(Buffer.from('chain;')),
				input: Buffer.from('input;'),
				output,
			}),
		).toEqual(Buffer.from('chain;input;output'));
	});

	it('is split when input and output exceed the limit together', async () => {
		// Guards against a turn that ran, but whose text is too large for a replicated command.
		const input = Buffer.alloc(MAX_TEXT_BYTES, 'i');
		const text: TurnText = {copiedChain: undefined, input, output};
		expect(joinText(text)).toBeUndefined();
		const parts = await collect(text);
		expect(Math.max(...parts.map(({length}) => length))).toBe(PART_BYTES);
		expect(Buffer.concat(parts)).toEqual(Buffer.concat([input, output]));
	});

	it('is split when a copied chain has several pages', async () => {
		const chain = Buffer.alloc(PAGE_BYTES * 3 + 1, 'c');
		const input = Buffer.from('input;');
		const text: TurnText = {copiedChain: createChain(chain), input, output};
		expect(joinText(text)).toBeUndefined();
		expect(Buffer.concat(await collect(text))).toEqual(
			Buffer.concat([chain, input, output]),
		);
	});
});
