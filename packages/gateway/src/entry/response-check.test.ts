import type {
	HeaderList,
	RequestHead,
	ResponseHead,
} from '@marjoramcove/ingress';
import type {RequestKind} from '@marjoramcove/routes';
import {asId, type RequestId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import type {RequestContext} from './request-context.ts';
import {ResponseCheck} from './response-check.ts';

const requestId = asId<RequestId>('r1');

const head: ResponseHead = {
	requestId,
	isNotRun: false,
	isSigned: true,
	isServerLeaving: false,
	unreadableHeaders: [],
};

type Play = {
	kind?: RequestKind;
	method?: string;
	request?: RequestHead;
	status?: number;
	headers?: HeaderList;
	body?: string;
};

/** Feeds a response to the check and returns what it finds at its end. */
const findDefect = ({
	kind = 'stream',
	method = 'POST',
	request = {requestId},
	status = 200,
	headers = [],
	body = '',
}: Play): string | undefined => {
	const check = new ResponseCheck({
		exchange: {method},
		head: request,
		route: {kind},
	} as unknown as RequestContext);
	const defect = check.start({status, headers, head});
	check.push(Buffer.from(body));
	return defect ?? check.findDefectAtEnd();
};

const EVENT = 'data: one\n\n';

describe('ResponseCheck', () => {
	describe('streams', () => {
		it('have to end between two events, whatever their status, type and framing', () => {
			const framings: HeaderList[] = [
				[],
				[['Transfer-Encoding', 'chunked']],
				[['Content-Length', '16']],
				[['Content-Type', 'application/json']],
			];
			for (const headers of framings) {
				for (const status of [200, 206]) {
					const body = `${EVENT}data:`;
					expect(findDefect({status, headers, body})).toBe(
						'ended-inside-event',
					);
					expect(findDefect({status, headers, body: EVENT})).toBeUndefined();
				}
			}
		});

		it('need an event unless their end is announced', () => {
			expect(findDefect({})).toBe('ended-without-event');
			expect(findDefect({body: ': ready\n\n'})).toBe('ended-without-event');
			expect(
				findDefect({headers: [['Transfer-Encoding', 'chunked']]}),
			).toBeUndefined();
			expect(findDefect({status: 204})).toBeUndefined();
			expect(findDefect({method: 'HEAD'})).toBeUndefined();
		});

		it('need no event when they are resumed', () => {
			// Guards against a resumed stream that had already delivered its last event and never completes.
			const request = {requestId, lastEventId: '7'};
			expect(findDefect({request})).toBeUndefined();
			expect(findDefect({request, body: 'da'})).toBe('ended-inside-event');
		});

		it('may fail with a body of any kind', () => {
			expect(findDefect({status: 500, body: 'failed'})).toBeUndefined();
		});
	});

	it('leaves the body of other responses alone', () => {
		expect(findDefect({kind: 'idempotent', body: 'data: on'})).toBeUndefined();
	});

	it('rejects a head that does not belong to the request', () => {
		const request = {requestId: asId<RequestId>('r2')};
		expect(findDefect({request, body: EVENT})).toBe('foreign-answer');
	});
});
