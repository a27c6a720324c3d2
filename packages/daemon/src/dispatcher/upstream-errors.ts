// The connection was never made, so nothing was sent.
const unsentCodes = new Set([
	'ECONNREFUSED',
	'ENOTFOUND',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Code of a network error. */
export const codeOf = (error: unknown): string =>
	(error as {code?: string; name?: string} | undefined)?.code ??
	(error as {name?: string} | undefined)?.name ??
	'unknown';

/** Whether the upstream cannot have received anything of the request. */
export const isUnsent = (error: unknown): boolean =>
	unsentCodes.has(codeOf(error));
