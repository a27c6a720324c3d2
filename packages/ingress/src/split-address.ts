/**
 * Splits an address into host and port.
 *
 * @throws RangeError when the host is empty or the port is missing or invalid.
 * @example
 * ```ts
 * splitAddress('10.1.0.30:8149'); // {host: '10.1.0.30', port: 8149}
 * ```
 */
export const splitAddress = (address: string): {host: string; port: number} => {
	const colon = address.lastIndexOf(':');
	const port = Number(address.slice(colon + 1));
	if (colon <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535) {
		throw new RangeError(`The address ${address} has no host and port.`);
	}

	return {host: address.slice(0, colon), port};
};
