import {
	connect,
	type Socket,
	createServer,
	type AddressInfo,
	type Server,
} from 'node:net';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {TcpProxy} from './tcp-proxy.ts';
import {waitFor} from './wait-for.ts';

describe('TcpProxy', () => {
	let server: Server;
	let proxy: TcpProxy;
	let received = '';
	const clients: Socket[] = [];

	beforeEach(async () => {
		received = '';
		server = createServer((socket) => {
			socket.on('data', (bytes) => {
				received += bytes.toString();
				socket.write(`echo ${bytes.toString()}`);
			});
			socket.on('error', () => socket.destroy());
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		proxy = await new TcpProxy(
			`127.0.0.1:${(server.address() as AddressInfo).port}`,
		).start();
	});

	afterEach(async () => {
		for (const client of clients.splice(0)) {
			client.destroy();
		}

		await proxy.stop();
		server.close();
	});

	const open = async () => {
		const [host, port] = proxy.address.split(':');
		const client = connect(Number(port), host);
		clients.push(client);
		client.on('error', () => client.destroy());
		await once(client, 'connect');
		const state = {client, text: '', closed: false};
		client.on('data', (bytes) => {
			state.text += bytes.toString();
		});
		client.on('close', () => {
			state.closed = true;
		});
		return state;
	};

	it('drops the bytes of one direction and forwards the other', async () => {
		const first = await open();
		first.client.write('a');
		await waitFor('the first response', () => first.text === 'echo a');
		proxy.silence('to-client', {newConnections: false});
		first.client.write('b');
		await waitFor('the request to arrive', () => received === 'ab');
		const second = await open();
		second.client.write('c');
		await waitFor(
			'a response on a new connection',
			() => second.text === 'echo c',
		);
		expect(first.text).toBe('echo a');
		expect(first.closed).toBe(false);
	});

	it('drops the bytes of new connections until the fault ends', async () => {
		proxy.silence('to-server', {newConnections: true});
		const silenced = await open();
		silenced.client.write('a');
		proxy.heal();
		await waitFor('the silenced connection to close', () => silenced.closed);
		const healed = await open();
		healed.client.write('b');
		await waitFor('a response', () => healed.text === 'echo b');
		expect(received).toBe('b');
	});

	it('resets connections', async () => {
		const first = await open();
		first.client.write('a');
		await waitFor('the first response', () => first.text === 'echo a');
		proxy.reset();
		await waitFor('the reset', () => first.closed);
	});
});
