import type {HistoryEntry} from '@marjoramcove/programs';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {readTexts} from './read-texts.ts';

/** Appends the texts to a stream, with bytes of other programs before each. */
const createStream = (texts: Array<{content: string; gapBytes: number}>) => {
	const parts: Buffer[] = [];
	const entries: HistoryEntry[] = [];
	let offset = 0;
	const append = (bytes: Buffer) => {
		parts.push(bytes);
		offset += bytes.length;
	};

	for (const {content, gapBytes} of texts) {
		append(Buffer.alloc(gapBytes, 'x'));
		const bytes = Buffer.from(content);
		entries.push({
			role: 'user',
			offset,
			lengthBytes: bytes.length,
			hash: '',
		});
		append(bytes);
	}

	const stream = Buffer.concat(parts);
	const reads: number[] = [];
	const read = async (start: number, lengthBytes: number) => {
		reads.push(lengthBytes);
		return stream.subarray(start, start + lengthBytes);
	};

	return {entries, reads, read};
};

describe('readTexts', () => {
	it('gives each entry exactly its own text, whatever lies between them', async () => {
		// Guards against bytes of another program in a history.
		await fc.assert(
			fc.asyncProperty(
				fc.array(
					fc.record({
						content: fc.string({unit: 'grapheme', maxLength: 20}),
						gapBytes: fc.oneof(
							fc.nat(40),
							fc.constantFrom(16_383, 16_384, 16_385, 40_000),
						),
					}),
					{maxLength: 12},
				),
				async (texts) => {
					const {entries, read} = createStream(texts);
					const found = await readTexts(entries, read);
					expect(found.map(({content}) => content)).toEqual(
						texts.map(({content}) => content),
					);
				},
			),
			{seed: 7, numRuns: 200},
		);
	});

	it('reads close entries at once, and far or long ones by themselves', async () => {
		// Guards against a read per entry, and against reads without a bound.
		const {entries, read, reads} = createStream([
			{content: 'a', gapBytes: 0},
			{content: 'b', gapBytes: 100},
			{content: 'c', gapBytes: 20_000},
			{content: 'd'.repeat(1024 * 1024), gapBytes: 0},
		]);
		await readTexts(entries, read);
		expect(reads).toEqual([102, 1, 1024 * 1024]);
	});
});
