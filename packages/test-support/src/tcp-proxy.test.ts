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
				if (bytes.toString() === 'reset') {
					socket.resetAndDestroy();
					return;
				}

				if (bytes.toString() === 'close') {
					socket.end();
					return;
				}

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
		const state = {client, text: '', closed: false, isReset: false};
		client.on('error', () => {
			state.isReset = true;
			client.destroy();
		});
		await once(client, 'connect');
		client.on('data', (bytes) => {
			state.text += bytes.toString();
		});
		client.on('close', () => {
			state.closed = true;
		});
		return state;
	};

	it('keeps the order of the bytes when a delay ends', async () => {
		// Guards against a soak whose proxy moves the last chunk of a response before its body.
		const {client} = await open();
		proxy.delay(100);
		client.write('first ');
		await waitFor(
			'the first bytes to be delayed',
			() => proxy.receivedBytes > 0,
		);
		proxy.heal();
		client.write('second');
		await waitFor('all bytes', () => received.length === 12);
		expect(received).toBe('first second');
	});

	it('forwards delayed bytes before the end of their connection', async () => {
		// Guards against a truncated response that the proxy closes in order.
		const {client} = await open();
		proxy.delay(100);
		client.end('all of it');
		await waitFor('the bytes', () => received === 'all of it');
	});

	it('passes on whether the other end closed or reset the connection', async () => {
		// Guards against a soak in which a reset response looks like one that was closed in order.
		const closed = await open();
		closed.client.write('close');
		const reset = await open();
		reset.client.write('reset');
		await waitFor('both to end', () => closed.closed && reset.closed);
		expect([closed.isReset, reset.isReset]).toEqual([false, true]);
	});

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
