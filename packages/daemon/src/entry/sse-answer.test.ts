import type {ServerResponse} from 'node:http';
import {describe, expect, it} from 'vitest';
import {SseAnswer} from './sse-answer.ts';

const createAnswer = (acceptsRestart: boolean) => {
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
	const answer = new SseAnswer(response as unknown as ServerResponse, {
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
	return {answer, written};
};

describe('SseAnswer', () => {
	describe('restart', () => {
		it('ends with an error for a caller that would append the new text to the old one', () => {
			const {answer, written} = createAnswer(false);
			answer.onText('old', {attempt: 1, offset: 3});
			answer.onRestart();
			answer.onText('new', {attempt: 2, offset: 3});
			const text = written.join('');
			expect(text).toContain('answer-restarted');
			expect(text).not.toContain('new"');
		});

		it('sends the event to a caller that accepts it', () => {
			const {answer, written} = createAnswer(true);
			answer.onText('old', {attempt: 1, offset: 3});
			answer.onRestart();
			answer.onText('new', {attempt: 2, offset: 3});
			expect(written.join('')).toMatch(/event: restart[\s\S]*"new"/v);
		});
	});
});
