import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventBoundary} from './event-boundary.ts';

const isInsideEvent = (...chunks: string[]): boolean => {
	const boundary = new EventBoundary();
	for (const chunk of chunks) {
		boundary.push(Buffer.from(chunk));
	}

	return boundary.isInsideEvent;
};

describe('EventBoundary', () => {
	describe('between events', () => {
		it.each([
			['nothing', ''],
			['an event', 'id: 1\ndata: x\n\n'],
			['an event with CRLF', 'data: x\r\n\r\n'],
			['an event with CR', 'data: x\r\r'],
			['an event with mixed line ends', 'data: x\n\r\n'],
			['a comment', ': ping\n'],
			['a comment that is cut', 'data: x\n\n: pi'],
			['blank lines', '\n\n\n'],
		])('after %s', (_name, text) => {
			expect(isInsideEvent(text)).toBe(false);
		});
	});

	describe('inside an event', () => {
		it.each([
			['a cut field name', 'da'],
			['a cut value', 'data: x'],
			['a field without the blank line', 'data: x\n'],
			['a field with CRLF', 'data: x\r\n'],
			['a second event', 'data: x\n\nid: 2\n'],
			['a comment within an event', 'id: 1\n: ping\n'],
		])('after %s', (_name, text) => {
			expect(isInsideEvent(text)).toBe(true);
		});
	});

	it('does not depend on how the stream is split into chunks', () => {
		// Guards against a line end that is cut in two and counts as a blank line.
		const text = 'id: 1\r\ndata: x\r\n\r\n: ping\r\nid: 2\r\ndata: y\r\n';
		fc.assert(
			fc.property(
				fc.integer({min: 0, max: text.length}),
				fc.integer({min: 0, max: text.length}),
				(end, cut) => {
					const part = text.slice(0, end);
					expect(isInsideEvent(part.slice(0, cut), part.slice(cut))).toBe(
						isInsideEvent(part),
					);
				},
			),
			{seed: 31, numRuns: 500},
		);
	});
});
