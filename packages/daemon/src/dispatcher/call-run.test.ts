import {setImmediate} from 'node:timers/promises';
import {describe, expect, it, vi} from 'vitest';
import type {DispatchEvent, Grant} from '../call-contracts.ts';
import {CallRun} from './call-run.ts';

const grant = Object.assign(Object.create(null), {timeoutMs: 1000}) as Grant;

const createRun = (prefix = '') =>
	new CallRun({
		grant,
		payload: {messages: [], parameters: {}, prefix},
	});

const endEvent: DispatchEvent = {type: 'lost', reason: 'test'};

const readAll = async (run: CallRun, fromOffset = 0) => {
	const events: DispatchEvent[] = [];
	for await (const event of run.read(
		fromOffset,
		new AbortController().signal,
	)) {
		events.push(event);
	}

	return events;
};

describe('CallRun', () => {
	describe('read', () => {
		it('streams to each reader all text from its offset, then the end', async () => {
			// Guards against a reader that attaches late and misses text.
			const run = createRun();
			const early = readAll(run);
			run.append('abc');
			await Promise.resolve();
			run.append('def');
			run.finish('lost', endEvent);
			const late = await readAll(run, 4);
			expect(late).toEqual([{type: 'chunk', offset: 4, text: 'ef'}, endEvent]);
			const events = await early;
			const text = events
				.map((event) => (event.type === 'chunk' ? event.text : ''))
				.join('');
			expect(text).toBe('abcdef');
		});

		it('begins with the prefix of an earlier attempt', async () => {
			// Guards against delivered bytes that are not a prefix of the answer.
			const run = createRun('abc');
			run.append('d');
			run.finish('lost', endEvent);
			expect(await readAll(run)).toEqual([
				{type: 'chunk', offset: 0, text: 'abcd'},
				endEvent,
			]);
		});

		it('never splits a surrogate pair, because UTF-8 on the link would lose both halves', async () => {
			const run = createRun();
			const reading = readAll(run);
			run.append('a\uD83D');
			await setImmediate();
			run.append('\uDE00b');
			run.finish('lost', endEvent);
			const events = await reading;
			expect(
				events.map((event) => (event.type === 'chunk' ? event.text : '')),
			).toEqual(['a', '\u{1F600}b', '']);
		});

		it('joins the text of an interval into one chunk, and does not delay the end', async () => {
			// Guards against a message per token, and against an end that waits for the next chunk.
			vi.useFakeTimers();
			try {
				const run = createRun();
				const events: DispatchEvent[] = [];
				const read = async () => {
					const {signal} = new AbortController();
					for await (const event of run.read(0, signal, 50)) {
						events.push(event);
					}
				};

				const reading = read();
				for (const text of ['a', 'b', 'c']) {
					run.append(text);
					await vi.advanceTimersByTimeAsync(10);
				}

				expect(events).toEqual([{type: 'chunk', offset: 0, text: 'a'}]);
				await vi.advanceTimersByTimeAsync(30);
				expect(events[1]).toEqual({type: 'chunk', offset: 1, text: 'bc'});
				run.append('d');
				run.finish('lost', endEvent);
				await reading;
				expect(events.slice(2)).toEqual([
					{type: 'chunk', offset: 3, text: 'd'},
					endEvent,
				]);
				expect(vi.getTimerCount()).toBe(0);
			} finally {
				vi.useRealTimers();
			}
		});

		it('ends when its reader disconnects', async () => {
			const controller = new AbortController();
			const reading = createRun().read(0, controller.signal).next();
			controller.abort();
			expect(await reading).toMatchObject({done: true});
		});
	});

	describe('finish', () => {
		it('keeps the first end and ignores later text', async () => {
			// Guards against an answer that changes after it was settled.
			const run = createRun();
			run.finish('lost', endEvent);
			run.append('late');
			run.finish('settled', {type: 'lost', reason: 'second'});
			expect(await readAll(run)).toEqual([endEvent]);
			expect(run.status).toBe('lost');
		});
	});
});
