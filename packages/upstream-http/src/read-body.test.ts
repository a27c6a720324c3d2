import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {type EndlessWrite, sendWithoutEnd} from '@marjoramcove/test-support';
import {request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {readBody, readJson, ResponseTooLargeError} from './read-body.ts';

const LIMIT_BYTES = 100_000;

const streamOf = async function* (...texts: string[]) {
	for (const text of texts) {
		yield Buffer.from(text);
	}
};

describe('readBody', () => {
	let server: Server | undefined;

	afterEach(() => {
		server?.closeAllConnections();
		server?.close();
	});

	it('concatenates the chunks of a body up to the limit', async () => {
		const body = await readBody(streamOf('ab', 'c'), 3);
		expect(body.toString()).toBe('abc');
	});

	it('rejects a body without an end and closes its connection', async () => {
		// Guards against one faulty server that fills the memory of a daemon.
		let write: EndlessWrite | undefined;
		server = createServer((_request, response) => {
			write = sendWithoutEnd(response, Buffer.alloc(65_536, 'a'));
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const {body} = await request(`http://127.0.0.1:${port}/`);
		await expect(readBody(body, LIMIT_BYTES)).rejects.toThrow(
			ResponseTooLargeError,
		);
		await expect.poll(() => write?.isClosed).toBe(true);
		expect(write!.sentBytes).toBeLessThan(32 * 1024 * 1024);
	});
});

describe('readJson', () => {
	it('parses the whole body', async () => {
		expect(await readJson(streamOf('{"a":', '1}'), LIMIT_BYTES)).toEqual({
			a: 1,
		});
	});

	it('rejects a body that is cut short', async () => {
		await expect(readJson(streamOf('{"a":'), LIMIT_BYTES)).rejects.toThrow(
			SyntaxError,
		);
	});
});
