import type {RequestKind} from '@marjoramcove/routes';
import {afterEach, describe, expect, it} from 'vitest';
import {
	EntryFixture,
	forwardUnsettledStream,
	RawServer,
} from './entry.fixture.ts';
import {forwardPlain} from './forward-plain.ts';

/** Statuses after which callers send a request again that may run once. */
const REFUSAL_STATUSES = [408, 429, 503];

describe('a status of refusal that does not state that the request has not run', () => {
	let server: RawServer | undefined;
	let fixture: EntryFixture | undefined;

	afterEach(async () => {
		await fixture?.stop();
		await server?.stop();
	});

	const send = async (kind: RequestKind, status: number) => {
		server = new RawServer((socket) => {
			socket.write(
				`HTTP/1.1 ${status} Oops\r\nX-Request: r1\r\nX-Signature: s\r\nContent-Length: 6\r\n\r\nfailed`,
			);
		});
		fixture = await EntryFixture.start(
			[await server.start('s1')],
			kind === 'stream' ? forwardUnsettledStream : forwardPlain,
			{kind, timeoutMs: 5000},
		);
		return fixture.send('r1');
	};

	it.each(
		(['non-idempotent', 'stream'] as const).flatMap((kind) =>
			REFUSAL_STATUSES.map((status) => ({kind, status})),
		),
	)(
		'promises nothing to the caller of a request that may run once: $kind, $status',
		async ({kind, status}) => {
			// Guards against a caller that sends again what a server has run.
			expect(await send(kind, status)).toMatchObject({
				status: 502,
				verdict: 'may-have-run',
			});
			expect(server!.requestCount).toBe(1);
		},
	);

	it('reaches the caller of an idempotent request, which may run again', async () => {
		expect(await send('idempotent', 503)).toMatchObject({
			status: 503,
			body: 'failed',
		});
	});
});
