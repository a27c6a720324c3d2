import {createServer} from 'node:net';

// Below the range from which the system takes ports for outgoing connections, so that no connection
// takes a reserved port before the daemon listens on it.
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;

const reserved = new Set<number>();

const isFree = async (port: number): Promise<boolean> =>
	new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});

/** Finds a loopback port on which nothing listens; the same process gets each port once. */
export const reservePort = async (): Promise<number> => {
	for (let attempt = 0; attempt < 1000; attempt++) {
		const port =
			LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT));
		if (!reserved.has(port) && (await isFree(port))) {
			reserved.add(port);
			return port;
		}
	}

	throw new Error(
		`No free port between ${LOWEST_PORT} and ${HIGHEST_PORT} was found.`,
	);
};
