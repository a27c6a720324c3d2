import type {Server as HttpServer} from 'node:http';
import type {AddressInfo, Server} from 'node:net';

/** Starts a server on the loopback address and returns its port; port 0 picks a free one. */
export const listenOnLoopback = async (
	server: Server,
	port: number,
): Promise<number> => {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
};

/** Stops a server and closes all its connections, including active ones. */
export const closeServer = async (server: HttpServer): Promise<void> => {
	await new Promise<void>((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
};
