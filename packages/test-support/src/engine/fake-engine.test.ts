import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {request} from 'undici';
import {waitFor} from '../wait-for.ts';
import {generateText} from './generate-text.ts';
import {FakeEngine} from './fake-engine.ts';

const prompt = 'book a slot [tokens=40]';

describe('FakeEngine', () => {
	let engine: FakeEngine;

	beforeEach(async () => {
		engine = await new FakeEngine({cacheEventLagMs: 0, loadLagMs: 0}).start();
	});

	afterEach(async () => {
		await engine.stop();
	});

	const complete = async (body: Record<string, unknown> = {}) =>
		request(`${engine.url}/v1/chat/completions`, {
			method: 'POST',
			body: JSON.stringify({
				model: 'agent-large',
				messages: [{role: 'user', content: prompt}],
				program_id: 'p0-a',
				...body,
			}),
		});

	const completeOnce = async (body: Record<string, unknown> = {}) => {
		const answer = await complete(body);
		await answer.body.dump();
	};

	const readContent = (text: string): string =>
		text
			.split('\n')
			.filter((line) => line.startsWith('data: {'))
			.map(
				(line) =>
					(
						JSON.parse(line.slice(6)) as {
							choices: Array<{delta: {content?: string}}>;
						}
					).choices[0]!.delta.content ?? '',
			)
			.join('');

	describe('model calls', () => {
		it('streams the deterministic answer with usage and a final event', async () => {
			const answer = await complete({stream: true});
			const text = await answer.body.text();
			expect(readContent(text)).toBe(generateText(prompt, {count: 40}));
			expect(text).toContain('"completion_tokens":40');
			expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
		});

		it('generates only the text after a prefix', async () => {
			const prefix = generateText(prompt, {count: 10});
			const answer = await complete({stream: true, prefix});
			expect(readContent(await answer.body.text())).toBe(
				generateText(prompt, {from: 10, count: 40}),
			);
		});

		it('counts the cached prefix of an earlier turn', async () => {
			await completeOnce();
			const answer = await complete();
			const body = (await answer.body.json()) as {
				usage: {prompt_tokens_details: {cached_tokens: number}};
			};
			expect(body.usage.prompt_tokens_details.cached_tokens).toBe(
				Math.floor(prompt.length / 4),
			);
		});

		it('refuses a second call with the same stream id', async () => {
			await completeOnce({stream_id: 's1'});
			const repeated = await complete({stream_id: 's1'});
			expect(repeated.statusCode).toBe(409);
		});
	});

	describe('faults', () => {
		it('resumes a stalled stream from an offset without loss', async () => {
			engine.injectFault({kind: 'silent-after', bytes: 300});
			await complete({stream: true, stream_id: 'p0-a:r1:1'});
			const resumed = await request(
				`${engine.url}/v1/streams/p0-a%3Ar1%3A1?offset=12`,
			);
			expect(readContent(await resumed.body.text())).toBe(
				generateText(prompt, {count: 40}).slice(12),
			);
		});

		it('has no streams and no memory after a crash', async () => {
			engine.injectFault({kind: 'die-after', bytes: 300});
			const answer = await complete({stream: true, stream_id: 's1'});
			await expect(answer.body.text()).rejects.toThrow();
			await waitFor('the engine to crash', () => !engine.running);
			await engine.start();
			const resumed = await request(`${engine.url}/v1/streams/s1`);
			expect(resumed.statusCode).toBe(404);
			expect(engine.held).toEqual([]);
		});
	});

	describe('memory', () => {
		it('holds memory for a program until it is released', async () => {
			await completeOnce();
			expect(engine.held.map((entry) => entry.programId)).toEqual(['p0-a']);
			await request(`${engine.url}/v1/kv/p0-a`, {method: 'DELETE'});
			expect(engine.held).toEqual([]);
		});
	});

	describe('orders', () => {
		const order = async (fencingNumber: number, orderId: string) =>
			request(`${engine.url}/v1/orders`, {
				method: 'POST',
				body: JSON.stringify({
					fencingNumber,
					orderId,
					type: 'load-model',
					model: `model-${fencingNumber}`,
				}),
			});

		it('refuses an outdated fencing number', async () => {
			const current = await order(2, 'o1');
			const old = await order(1, 'o2');
			expect(current.statusCode).toBe(200);
			expect(old.statusCode).toBe(409);
			expect(engine.orders.state.models).toEqual(['agent-large', 'model-2']);
		});
	});
});
