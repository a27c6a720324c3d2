/** Headers in the order and the case in which they were received; a name may occur more than once. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Headers that concern one connection (RFC 9110, section 7.6.1), and those of a message's framing. */
const CONNECTION_HEADERS = new Set([
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
 * Pairs the names and values of a flat list, as `node:http` and `undici` give it.
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
 * Finds the first value of a header.
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
 * Leaves out the headers that concern only one connection, also those that `Connection` names.
 *
 * @example
 * ```ts
 * const forwarded = withoutConnectionHeaders(headers);
 * ```
 */
export const withoutConnectionHeaders = (headers: HeaderList): HeaderList => {
	const named = new Set<string>();
	for (const [name, value] of headers) {
		if (name.toLowerCase() === 'connection') {
			for (const option of value.split(',')) {
				named.add(option.trim().toLowerCase());
			}
		}
	}

	return headers.filter(([name]) => {
		const lowerName = name.toLowerCase();
		return !CONNECTION_HEADERS.has(lowerName) && !named.has(lowerName);
	});
};
