import {describe, expect, it} from 'vitest';
import {BufferMemory, ResponseBuffer} from './response-buffer.ts';

describe('ResponseBuffer', () => {
	it('refuses a chunk beyond the limit of a response and keeps the others', () => {
		const buffer = new ResponseBuffer(new BufferMemory(1000), 10);
		expect(buffer.push(Buffer.from('12345'))).toBe(true);
		expect(buffer.push(Buffer.from('678901'))).toBe(false);
		expect(buffer.take().toString()).toBe('12345');
	});

	it('refuses a chunk that exceeds the memory shared with other responses', () => {
		const memory = new BufferMemory(10);
		const first = new ResponseBuffer(memory);
		const second = new ResponseBuffer(memory);
		expect(first.push(Buffer.from('12345678'))).toBe(true);
		expect(second.push(Buffer.from('123'))).toBe(false);
		first.discard();
		expect(second.push(Buffer.from('123'))).toBe(true);
	});

	it('frees its memory once, whether it is taken, discarded or both', () => {
		const memory = new BufferMemory(10);
		const buffer = new ResponseBuffer(memory);
		buffer.push(Buffer.from('1234'));
		buffer.take();
		buffer.discard();
		expect(memory.usedBytes).toBe(0);
	});
});
