import {describe, expect, it} from 'vitest';
import {EventStreamReader} from './event-stream-reader.ts';
import {BufferMemory, ResponseBuffer} from './response-buffer.ts';

const createBuffer = (limitBytes = 1000) =>
	new ResponseBuffer(new BufferMemory(limitBytes));

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
		const reader = new EventStreamReader({buffer: createBuffer()});
		reader.push(Buffer.from('data: \u00E9\u4E00\n\ndata: x\n\n'));
		expect(reader.text()).toEqual(Buffer.from('\u00E9\u4E00\nx\n'));
	});

	it('stops at an event that exceeds its limit', () => {
		const reader = new EventStreamReader({maxEventBytes: 100});
		expect(reader.push(Buffer.from(`data: ${'x'.repeat(80)}`))).toBe(true);
		expect(reader.push(Buffer.from('x'.repeat(30)))).toBe(false);
		expect(reader.push(Buffer.from('\n\n'))).toBe(false);
		expect(reader.eventCount).toBe(0);
	});

	it('has no limit for the number of events of a stream whose text is not kept', () => {
		const reader = new EventStreamReader();
		for (let i = 0; i < 100; i++) {
			expect(reader.push(Buffer.from('data: 0123456789\n\n'))).toBe(true);
		}

		expect(reader.text()).toHaveLength(0);
	});

	it('stops when the collected text exceeds its limit', () => {
		const reader = new EventStreamReader({buffer: createBuffer(20)});
		expect(reader.push(Buffer.from('data: 0123456789\n\n'))).toBe(true);
		expect(reader.push(Buffer.from('data: 0123456789\n\n'))).toBe(false);
	});
});
