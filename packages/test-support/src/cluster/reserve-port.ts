import {createSocket, type Socket} from 'node:dgram';
import {createServer} from 'node:net';

/** Range of ports, including both ends. */
export type PortRange = {
	lowest: number;
	highest: number;
};

// Below the ephemeral port range of the system, so that no outgoing connection takes a reserved port
// before the daemon listens on it.
const DEFAULT_RANGE: PortRange = {lowest: 12_000, highest: 31_000};

const reservations = new Map<number, Socket>();

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

/**
 * Locks a port across processes by binding the UDP port of the same number until this process exits.
 * The daemons use TCP only, so the lock does not conflict with them.
 */
const lockPort = async (port: number): Promise<Socket | undefined> =>
	new Promise((resolve) => {
		const socket = createSocket('udp4');
		socket.once('error', () => {
			socket.close();
			resolve(undefined);
		});
		socket.bind({port, address: '127.0.0.1', exclusive: true}, () => {
			socket.unref();
			resolve(socket);
		});
	});

const tryReserve = async (port: number): Promise<boolean> => {
	if (reservations.has(port)) {
		return false;
	}

	const socket = await lockPort(port);
	if (!socket) {
		return false;
	}

	if (await isFree(port)) {
		reservations.set(port, socket);
		return true;
	}

	socket.close();
	return false;
};

/**
 * Reserves a loopback port on which nothing listens. No other call in any process gets the port until
 * this process exits, even while the daemon that uses it is stopped.
 */
export const reservePort = async (
	range: PortRange = DEFAULT_RANGE,
): Promise<number> => {
	const count = range.highest - range.lowest + 1;
	const first = Math.floor(Math.random() * count);
	for (let index = 0; index < count; index++) {
		const port = range.lowest + ((first + index) % count);
		if (await tryReserve(port)) {
			return port;
		}
	}

	throw new Error(
		`No free port between ${range.lowest} and ${range.highest} was found.`,
	);
};
