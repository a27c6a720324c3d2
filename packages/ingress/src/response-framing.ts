import {findHeader, type HeaderList} from './header-list.ts';

/**
 * How a response says where its body ends: by a length, by its last chunk, or only by the end of its
 * connection. `none`: the response has no body.
 */
export type ResponseFraming = 'chunks' | 'connection' | 'length' | 'none';

const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Finds how a response is framed (RFC 9112, section 6.3).
 *
 * @example
 * ```ts
 * findFraming('GET', 200, [['Content-Length', '5']]); // 'length'
 * findFraming('GET', 200, []); // 'connection'
 * ```
 */
export const findFraming = (
	method: string,
	status: number,
	headers: HeaderList,
): ResponseFraming => {
	if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
		return 'none';
	}

	const coding = findHeader(headers, 'transfer-encoding');
	if (coding !== undefined) {
		return /\bchunked\s*$/iu.test(coding) ? 'chunks' : 'connection';
	}

	return findHeader(headers, 'content-length') === undefined
		? 'connection'
		: 'length';
};
