/** Headers in their original order and case; a name may occur more than once. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Hop-by-hop headers (RFC 9110, section 7.6.1), including those for message framing. */
const HOP_BY_HOP_HEADERS = new Set([
	'connection',
	'expect',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/**
 * Converts the flat list of names and values from `node:http` or `undici` to pairs.
 *
 * @example
 * ```ts
 * const headers = readRawHeaders(request.rawHeaders);
 * ```
 */
export const readRawHeaders = (
	raw: ReadonlyArray<string | Uint8Array>,
): HeaderList => {
	const headers: Array<[string, string]> = [];
	const toText = (part: string | Uint8Array) =>
		typeof part === 'string' ? part : Buffer.from(part).toString('latin1');
	for (let index = 0; index + 1 < raw.length; index += 2) {
		headers.push([toText(raw[index]!), toText(raw[index + 1]!)]);
	}

	return headers;
};

/**
 * Returns the first value of a header.
 *
 * @param name - in lower case.
 * @example
 * ```ts
 * findHeader(headers, 'content-type');
 * ```
 */
export const findHeader = (
	headers: HeaderList,
	name: string,
): string | undefined =>
	headers.find(([found]) => found.toLowerCase() === name)?.[1];

/**
 * Returns the value of a header that all its occurrences agree on; `undefined` if they differ.
 *
 * @param name - in lower case.
 * @example
 * ```ts
 * findUnanimousHeader([['X-Id', 'a'], ['X-Id', 'b']], 'x-id'); // undefined
 * ```
 */
export const findUnanimousHeader = (
	headers: HeaderList,
	name: string,
): string | undefined => {
	const values = headers
		.filter(([found]) => found.toLowerCase() === name)
		.map(([, value]) => value);
	return values.every((value) => value === values[0]) ? values[0] : undefined;
};

/**
 * Removes the hop-by-hop headers, including those that `Connection` lists.
 *
 * @example
 * ```ts
 * const forwarded = removeHopByHopHeaders(headers);
 * ```
 */
export const removeHopByHopHeaders = (headers: HeaderList): HeaderList => {
	const listed = new Set<string>();
	for (const [name, value] of headers) {
		if (name.toLowerCase() === 'connection') {
			for (const option of value.split(',')) {
				listed.add(option.trim().toLowerCase());
			}
		}
	}

	return headers.filter(([name]) => {
		const lowerName = name.toLowerCase();
		return !HOP_BY_HOP_HEADERS.has(lowerName) && !listed.has(lowerName);
	});
};
