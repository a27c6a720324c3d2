/** Errors of a connection that was never established, so that nothing was sent. */
const connectErrorCodes = new Set([
	'ECONNREFUSED',
	'ENOTFOUND',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Code of a network error. */
export const errorCodeOf = (error: unknown): string =>
	(error as {code?: string; name?: string} | undefined)?.code ??
	(error as {name?: string} | undefined)?.name ??
	'unknown';

/** Whether the upstream cannot have received anything of the request. */
export const isUnsent = (error: unknown): boolean =>
	connectErrorCodes.has(errorCodeOf(error));
