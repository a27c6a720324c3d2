import type {Socket} from 'node:net';
import type {RequestKind} from '@marjoramcove/routes';
import {afterEach, describe, expect, it} from 'vitest';
import {
	EntryFixture,
	forwardUnsettledStream,
	RawServer,
} from './entry.fixture.ts';
import {forwardPlain} from './forward-plain.ts';

const headOf = (lines: string[]): string => `${lines.join('\r\n')}\r\n\r\n`;

const EVENT = 'data: own\n\n';

const SUCCESS = `${headOf([
	'HTTP/1.1 200 OK',
	'X-Request: r2',
	'X-Signature: s',
	`Content-Length: ${EVENT.length}`,
])}${EVENT}`;

const FAILURE = `${headOf([
	'HTTP/1.1 500 Internal Server Error',
	'X-Request: r2',
	'X-Signature: s',
	'Content-Length: 6',
])}failed`;

/** A part of the first head comes before the whole answer to the request. */
const PLAYS = [
	{
		name: 'a refusal before a success',
		earlier: headOf([
			'HTTP/1.1 503 Service Unavailable',
			'X-Not-Run: 1',
			'X-Reason: full',
			'X-Request: r1',
			'Content-Length: 0',
		]),
		own: SUCCESS,
		ownStatus: 200,
	},
	{
		name: 'a success before a failure',
		earlier: headOf([
			'HTTP/1.1 200 OK',
			'X-Signature: s',
			'X-Reason: none',
			'X-Request: r1',
			'Content-Length: 0',
		]),
		own: FAILURE,
		ownStatus: 500,
	},
];

const KINDS: RequestKind[] = ['non-idempotent', 'stream'];

describe('a part of an earlier head before the answer to a request', () => {
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

	const play = async (kind: RequestKind, answer: string) => {
		const server = new RawServer((socket: Socket) => {
			socket.write(answer);
		});
		servers.push(server);
		const fixture = await EntryFixture.start(
			[await server.start('s1')],
			kind === 'stream' ? forwardUnsettledStream : forwardPlain,
			{kind, timeoutMs: 5000},
		);
		fixtures.push(fixture);
		return fixture.send('r2');
	};

	it.each(PLAYS.flatMap((entry) => KINDS.map((kind) => ({...entry, kind}))))(
		'gives the answer no other status: $name, $kind',
		async ({earlier, own, ownStatus, kind}) => {
			// Guards against a status line of one head with the id and the signature of another.
			const lengths = Array.from({length: earlier.length - 4}, (_, at) => at);
			const answers = await Promise.all(
				lengths.map(async (length) =>
					play(kind, earlier.slice(0, length) + own),
				),
			);
			const wrong = lengths.filter((length) => {
				const {status, verdict} = answers[length]!;
				const isOwn = status === ownStatus;
				return !isOwn && !(status === 502 && verdict === 'may-have-run');
			});
			expect(wrong.map((length) => earlier.slice(0, length))).toEqual([]);
		},
		30_000,
	);
});
