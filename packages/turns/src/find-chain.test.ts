import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {cutPage, sumLengths, type TextRange} from './find-chain.ts';

const stream = Buffer.from(
	Array.from({length: 4000}, (_, index) => index % 251),
);

const readRanges = (ranges: readonly TextRange[]): Buffer =>
	Buffer.concat(
		ranges.map(({offset, lengthBytes}) =>
			stream.subarray(offset, offset + lengthBytes),
		),
	);

const rangesArbitrary = fc.array(
	fc.record({
		offset: fc.integer({min: 0, max: 3000}),
		lengthBytes: fc.integer({min: 0, max: 200}),
	}),
	{maxLength: 8},
);

describe('cutPage', () => {
	it('returns nothing for a page after the end', () => {
		expect(
			cutPage([{offset: 5, lengthBytes: 3}], {offset: 3, lengthBytes: 10}),
		).toEqual([]);
	});

	it('reads the whole text, whatever the size of the pages', () => {
		// Guards against bytes that are lost or doubled where a page ends inside a turn.
		fc.assert(
			fc.property(
				rangesArbitrary,
				fc.integer({min: 1, max: 500}),
				(ranges, pageBytes) => {
					const pages: Buffer[] = [];
					const lengthBytes = sumLengths(ranges);
					for (let offset = 0; offset < lengthBytes; offset += pageBytes) {
						const parts = cutPage(ranges, {offset, lengthBytes: pageBytes});
						expect(sumLengths(parts)).toBe(
							Math.min(pageBytes, lengthBytes - offset),
						);
						pages.push(readRanges(parts));
					}

					expect(Buffer.concat(pages)).toEqual(readRanges(ranges));
				},
			),
		);
	});
});
