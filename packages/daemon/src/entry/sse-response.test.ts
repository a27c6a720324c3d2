import type {ServerResponse} from 'node:http';
import {describe, expect, it} from 'vitest';
import {SseResponse} from './sse-response.ts';

const createResponse = (acceptsRestart: boolean) => {
	const written: string[] = [];
	const response = {
		headersSent: false,
		destroyed: false,
		writableLength: 0,
		writeHead() {
			response.headersSent = true;
		},
		write: (text: string) => written.push(text),
		end() {
			response.destroyed = true;
		},
	};
	const events = new SseResponse(response as unknown as ServerResponse, {
		id: 'p0-a:r1',
		model: 'agent-large',
		headers: {},
		heartbeatMs: 1000,
		acceptsRestart,
		maxBufferedBytes: 1024,
		onSlowCaller() {
			throw new Error('The caller is not slow.');
		},
	});
	return {events, written};
};

describe('SseResponse', () => {
	describe('restart', () => {
		it('ends with an error for a caller that would append the new text to the old text', () => {
			const {events, written} = createResponse(false);
			events.onText('old', {attempt: 1, offset: 3});
			events.onRestart();
			events.onText('new', {attempt: 2, offset: 3});
			const text = written.join('');
			expect(text).toContain('answer-restarted');
			expect(text).not.toContain('new"');
		});

		it('sends the restart event to a caller that accepts it', () => {
			const {events, written} = createResponse(true);
			events.onText('old', {attempt: 1, offset: 3});
			events.onRestart();
			events.onText('new', {attempt: 2, offset: 3});
			expect(written.join('')).toMatch(/event: restart[\s\S]*"new"/v);
		});
	});
});
