import type {Server as HttpServer} from 'node:http';
import type {AddressInfo, Server} from 'node:net';

/** Lets a server listen on the loopback address; 0 chooses a free port. Returns the port. */
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

/** Stops a server and breaks off what is under way. */
export const closeServer = async (server: HttpServer): Promise<void> => {
	await new Promise<void>((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
};
