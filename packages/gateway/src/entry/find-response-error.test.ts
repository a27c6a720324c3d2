import {asId, type RequestId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {findResponseError} from './find-response-error.ts';

const requestId = asId<RequestId>('r1');
const head = {
	requestId,
	isNotRun: false,
	isSigned: true,
	isServerLeaving: false,
	unreadableHeaders: [],
};

describe('findResponseError', () => {
	it('accepts a response to the request with any status', () => {
		expect(findResponseError({requestId}, {status: 200, head})).toBeUndefined();
		expect(
			findResponseError(
				{requestId},
				{status: 500, head: {...head, isSigned: false}},
			),
		).toBeUndefined();
	});

	it('rejects a late response to an earlier request', () => {
		const other = {...head, requestId: asId<RequestId>('r0')};
		expect(findResponseError({requestId}, {status: 200, head: other})).toBe(
			'foreign-answer',
		);
	});

	it('rejects a response without an id, whatever its status', () => {
		for (const status of [200, 421, 500, 503]) {
			expect(
				findResponseError(
					{requestId},
					{status, head: {...head, requestId: undefined, isNotRun: true}},
				),
			).toBe('unidentified-answer');
		}
	});

	it('rejects a response with an id to a request without one', () => {
		expect(findResponseError({}, {status: 200, head})).toBe('foreign-answer');
		expect(
			findResponseError(
				{},
				{status: 200, head: {...head, requestId: undefined}},
			),
		).toBeUndefined();
	});

	it('rejects a success response that no server has signed', () => {
		const unsigned = {...head, isSigned: false};
		expect(findResponseError({requestId}, {status: 200, head: unsigned})).toBe(
			'unsigned-answer',
		);
	});
});
