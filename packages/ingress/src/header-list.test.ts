import {describe, expect, it} from 'vitest';
import {readRawHeaders, removeHopByHopHeaders} from './header-list.ts';
import {EventStreamReader} from './event-stream-reader.ts';

describe('removeHopByHopHeaders', () => {
	it('removes hop-by-hop headers, including those that Connection lists', () => {
		const headers = readRawHeaders([
			'Connection',
			'close, X-Hop',
			'X-Hop',
			'1',
			'Transfer-Encoding',
			'chunked',
			'X-Kept',
			'2',
		]);
		expect(removeHopByHopHeaders(headers)).toEqual([['X-Kept', '2']]);
	});
});

describe('EventStreamReader', () => {
	it('counts complete events, also when a chunk ends within an event', () => {
		const reader = new EventStreamReader();
		reader.push(Buffer.from('id: 1\ndata: one\n\nid: 2\nda'));
		expect(reader.eventCount).toBe(1);
		reader.push(Buffer.from('ta: two\n\n'));
		expect(reader.eventCount).toBe(2);
		expect(reader.lastEventId).toBe('2');
	});

	it('preserves the bytes of the event data and appends a line feed to each event', () => {
		const reader = new EventStreamReader();
		reader.push(Buffer.from('data: \u00E9\u4E00\n\ndata: x\n\n'));
		expect(reader.text()).toEqual(Buffer.from('\u00E9\u4E00\nx\n'));
	});
});
