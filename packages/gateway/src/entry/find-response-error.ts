import type {ResponseHead, RequestHead} from '@marjoramcove/ingress';

/**
 * Finds why a response does not belong to a request. A connection may also carry a repeated response to an
 * earlier request, so that only the id tells which request a response belongs to.
 */
const findForeignness = (
	request: RequestHead,
	response: ResponseHead,
): string | undefined => {
	if (response.requestId === request.requestId) {
		return undefined;
	}

	return response.requestId === undefined
		? 'unidentified-answer'
		: 'foreign-answer';
};

/**
 * Checks whether a response must not be forwarded because it does not have the id of the request, or reports
 * success without the signature of a server.
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
	const foreignness = findForeignness(request, head);
	if (foreignness !== undefined) {
		return foreignness;
	}

	return status >= 200 && status < 300 && !head.isSigned
		? 'unsigned-answer'
		: undefined;
};
