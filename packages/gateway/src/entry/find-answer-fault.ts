import type {AnswerHead, RequestHead} from '@marjoramcove/ingress';

/**
 * Finds out why an answer must not be passed on: it belongs to an earlier request on the connection, or
 * it claims success without the mark of a server.
 *
 * @returns `undefined` when nothing is wrong.
 * @example
 * ```ts
 * findAnswerFault(request.head, {status: 200, head: {isNotRun: false, isSigned: false}}); // 'unsigned-answer'
 * ```
 */
export const findAnswerFault = (
	request: RequestHead,
	{status, head}: {status: number; head: AnswerHead},
): string | undefined => {
	const {requestId, isSigned} = head;
	if (
		requestId !== undefined &&
		request.requestId !== undefined &&
		requestId !== request.requestId
	) {
		return 'foreign-answer';
	}

	return status >= 200 && status < 300 && !isSigned
		? 'unsigned-answer'
		: undefined;
};
