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
