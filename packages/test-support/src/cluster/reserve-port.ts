import {createSocket, type Socket} from 'node:dgram';
import {createServer} from 'node:net';

/** Ports to choose from; both ends are included. */
export type PortRange = {
	lowest: number;
	highest: number;
};

// Below the range from which the system takes ports for outgoing connections, so that no connection
// takes a reserved port before the daemon listens on it.
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
 * Binds the UDP port of the same number, which no other process can bind until this one ends. The
 * daemons use TCP only, so it does not stand in their way.
 */
const lock = async (port: number): Promise<Socket | undefined> =>
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

	const socket = await lock(port);
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
 * Reserves a loopback port on which nothing listens. No other call gets it while this process lives,
 * also not in another process and not while the daemon that uses it is down.
 */
export const reservePort = async (
	range: PortRange = DEFAULT_RANGE,
): Promise<number> => {
	const count = range.highest - range.lowest + 1;
	const first = Math.floor(Math.random() * count);
	for (let step = 0; step < count; step++) {
		const port = range.lowest + ((first + step) % count);
		if (await tryReserve(port)) {
			return port;
		}
	}

	throw new Error(
		`No free port between ${range.lowest} and ${range.highest} was found.`,
	);
};
