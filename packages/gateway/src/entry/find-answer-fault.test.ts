import {asId, type RequestId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {findAnswerFault} from './find-answer-fault.ts';

const requestId = asId<RequestId>('r1');
const head = {requestId, isNotRun: false, isSigned: true};

describe('findAnswerFault', () => {
	it('finds nothing wrong with the own answer, whatever its status', () => {
		expect(findAnswerFault({requestId}, {status: 200, head})).toBeUndefined();
		expect(
			findAnswerFault(
				{requestId},
				{status: 500, head: {...head, isSigned: false}},
			),
		).toBeUndefined();
	});

	it('refuses the late answer of an earlier request', () => {
		const other = {...head, requestId: asId<RequestId>('r0')};
		expect(findAnswerFault({requestId}, {status: 200, head: other})).toBe(
			'foreign-answer',
		);
	});

	it('refuses a success that no server has signed', () => {
		const unsigned = {...head, isSigned: false};
		expect(findAnswerFault({requestId}, {status: 200, head: unsigned})).toBe(
			'unsigned-answer',
		);
	});
});
