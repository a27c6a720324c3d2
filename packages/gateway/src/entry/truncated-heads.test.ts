import type {Socket} from 'node:net';
import type {RequestKind} from '@marjoramcove/routes';
import {afterEach, describe, expect, it} from 'vitest';
import {
	EntryFixture,
	forwardUnsettledStream,
	RawServer,
} from './entry.fixture.ts';
import {forwardPlain} from './forward-plain.ts';

const HEADS = {
	'a success': [
		'HTTP/1.1 200 OK',
		'X-Request: r1',
		'X-Signature: s',
		'Content-Type: text/event-stream',
		'Connection: close',
		'Content-Length: 11',
		'',
		'',
	].join('\r\n'),
	'a success without framing': [
		'HTTP/1.1 200 OK',
		'X-Request: r1',
		'X-Signature: s',
		'',
		'',
	].join('\r\n'),
	'a success after an informational response': [
		'HTTP/1.1 103 Early Hints',
		'Connection: close',
		'',
		'HTTP/1.1 200 OK',
		'X-Request: r1',
		'X-Signature: s',
		'',
		'',
	].join('\r\n'),
	'a refusal': [
		'HTTP/1.1 503 Service Unavailable',
		'X-Request: r1',
		'X-Not-Run: 1',
		'',
		'',
	].join('\r\n'),
};

const KINDS: RequestKind[] = ['non-idempotent', 'stream'];

const ENDINGS: Record<string, (socket: Socket) => void> = {
	closed(socket) {
		socket.end();
	},
	reset(socket) {
		// A reset would discard what has not been sent yet.
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 2);
	},
};

describe('heads of answers that stop half-way', () => {
	const servers: RawServer[] = [];
	const fixtures: EntryFixture[] = [];

	afterEach(async () => {
		for (const fixture of fixtures.splice(0)) {
			await fixture.stop();
		}

		for (const server of servers.splice(0)) {
			await server.stop();
		}
	});

	/** Plays an answer that consists of a part of a head. */
	const play = async (
		kind: RequestKind,
		head: string,
		end: (socket: Socket) => void,
	) => {
		const server = new RawServer((socket) => {
			if (head !== '') {
				socket.write(head);
			}

			end(socket);
		});
		servers.push(server);
		const fixture = await EntryFixture.start(
			[await server.start('s1')],
			kind === 'stream' ? forwardUnsettledStream : forwardPlain,
			{kind, timeoutMs: 5000},
		);
		fixtures.push(fixture);
		return fixture.send('r1');
	};

	for (const kind of KINDS) {
		for (const [ending, end] of Object.entries(ENDINGS)) {
			it.each(Object.entries(HEADS))(
				`never make an answer at any length: ${kind}, ${ending}, %s`,
				async (_name, head) => {
					// Guards against a 200 or a refusal that is made of a part of a head.
					const lengths = Array.from(
						{length: head.length},
						(_, length) => length,
					);
					const answers = await Promise.all(
						lengths.map(async (length) =>
							play(kind, head.slice(0, length), end),
						),
					);
					const wrong = lengths.filter(
						(length) =>
							answers[length]!.status !== 502 ||
							answers[length]!.verdict !== 'may-have-run',
					);
					expect(wrong).toEqual([]);
				},
				30_000,
			);
		}
	}
});
