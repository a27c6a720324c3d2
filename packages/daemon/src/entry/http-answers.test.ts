import {Readable} from 'node:stream';
import type {IncomingMessage} from 'node:http';
import {describe, expect, it} from 'vitest';
import * as z from 'zod';
import {
	type HttpRequest,
	parseBody,
	readBody,
	statusOf,
	toCallerError,
} from './http-answers.ts';

const requestOf = (text: string) =>
	Readable.from([Buffer.from(text)]) as unknown as IncomingMessage;

describe('HTTP answers', () => {
	describe('toCallerError', () => {
		it('gives an unexpected error no stack trace and an unknown outcome', () => {
			// Guards against internals that reach a caller, and against a wrong not-run verdict.
			const body = toCallerError(new TypeError('x is undefined'));
			expect(body).toMatchObject({
				reason: 'internal-error',
				verdict: 'may-have-run',
			});
			expect(JSON.stringify(body)).not.toContain('at ');
		});
	});

	describe('statusOf', () => {
		it.each([
			['revision-conflict', 'not-run', 409],
			['request-too-large', 'not-run', 413],
			['invalid-input', 'not-run', 422],
			['overloaded', 'not-run', 429],
			['configuration-lease-expired', 'not-run', 503],
			['tool-timeout', 'may-have-run', 504],
		] as const)('maps %s to its status', (reason, verdict, status) => {
			expect(statusOf({reason, verdict, message: '', type: '', hint: ''})).toBe(
				status,
			);
		});
	});

	describe('readBody', () => {
		it('refuses a body above the limit as not run', async () => {
			await expect(
				readBody(requestOf('x'.repeat(100)), 50),
			).rejects.toMatchObject({
				reason: 'request-too-large',
				verdict: 'not-run',
			});
			expect(await readBody(requestOf('x'.repeat(50)), 50)).toHaveLength(50);
		});
	});

	describe('parseBody', () => {
		it('names the wrong key', () => {
			const rawBody = Buffer.from('{"turns": "3"}');
			const request = Object.assign(requestOf(''), {rawBody}) as HttpRequest;
			expect(() => parseBody(request, z.object({turns: z.int()}))).toThrow(
				/turns/v,
			);
		});
	});
});
