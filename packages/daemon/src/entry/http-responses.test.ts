import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {Readable} from 'node:stream';
import {afterEach, describe, expect, it} from 'vitest';
import * as z from 'zod';
import {
	type HttpRequest,
	MAX_HEADER_FIELDS,
	parseBody,
	readBody,
	refuseTruncatedHead,
	httpStatusOf,
	toCallerErrorBody,
} from './http-responses.ts';

const createRequest = (text: string) =>
	Readable.from([Buffer.from(text)]) as unknown as IncomingMessage;

describe('HTTP responses', () => {
	describe('toCallerErrorBody', () => {
		it('reports an unexpected error without a stack trace and with an unknown outcome', () => {
			// Guards against exposing internals to callers and against a wrong not-run verdict.
			const body = toCallerErrorBody(new TypeError('x is undefined'));
			expect(body).toMatchObject({
				reason: 'internal-error',
				verdict: 'may-have-run',
			});
			expect(JSON.stringify(body)).not.toContain('at ');
		});
	});

	describe('httpStatusOf', () => {
		it.each([
			['revision-conflict', 'not-run', 409],
			['request-too-large', 'not-run', 413],
			['invalid-input', 'not-run', 422],
			['overloaded', 'not-run', 429],
			['configuration-lease-expired', 'not-run', 503],
			['tool-timeout', 'may-have-run', 504],
		] as const)(
			'maps %s to its HTTP status code',
			(reason, verdict, status) => {
				expect(
					httpStatusOf({reason, verdict, message: '', type: '', hint: ''}),
				).toBe(status);
			},
		);
	});

	describe('readBody', () => {
		it('rejects a body above the limit with the verdict not-run', async () => {
			await expect(
				readBody(createRequest('x'.repeat(100)), 50),
			).rejects.toMatchObject({
				reason: 'request-too-large',
				verdict: 'not-run',
			});
			expect(await readBody(createRequest('x'.repeat(50)), 50)).toHaveLength(
				50,
			);
		});
	});

	describe('refuseTruncatedHead', () => {
		let server: Server | undefined;

		afterEach(() => {
			server?.close();
		});

		it.each([
			[MAX_HEADER_FIELDS - 10, 200],
			[MAX_HEADER_FIELDS + 100, 431],
		])(
			'answers a request with %i short headers with %i',
			async (count, status) => {
				// Guards against headers that are dropped in silence, such as the id of a request that may run once.
				server = createServer((request, response) => {
					refuseTruncatedHead(request, response, () => {
						response.end();
					});
				});
				server.maxHeadersCount = MAX_HEADER_FIELDS;
				server.listen(0, '127.0.0.1');
				await once(server, 'listening');
				const {port} = server.address() as AddressInfo;
				const socket = connect(port, '127.0.0.1');
				socket.write(
					`GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${'a: b\r\n'.repeat(count)}\r\n`,
				);
				const [chunk] = (await once(socket, 'data')) as [Buffer];
				socket.destroy();
				expect(chunk.toString()).toMatch(
					new RegExp(`^HTTP/1\\.1 ${status} `, 'v'),
				);
			},
		);
	});

	describe('parseBody', () => {
		it('names the invalid key', () => {
			const rawBody = Buffer.from('{"turns": "3"}');
			const request = Object.assign(createRequest(''), {
				rawBody,
			}) as HttpRequest;
			expect(() => parseBody(request, z.object({turns: z.int()}))).toThrow(
				/turns/v,
			);
		});
	});
});
