import type {ResponseHead, RequestHead} from '@marjoramcove/ingress';

/**
 * Checks whether a response must not be forwarded because it belongs to an earlier request on the
 * connection, or reports success without the signature of a server.
 *
 * @returns the reason code; `undefined` if the response is valid.
 * @example
 * ```ts
 * findResponseError(request.head, {status: 200, head: {isNotRun: false, isSigned: false}}); // 'unsigned-answer'
 * ```
 */
export const findResponseError = (
	request: RequestHead,
	{status, head}: {status: number; head: ResponseHead},
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
