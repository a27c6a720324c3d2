import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import polka, {type Polka} from 'polka';
import {listenOnLoopback} from './listen-on-loopback.ts';

/**
 * Base of the in-process HTTP stand-ins: listens on a loopback port that the system chooses, and
 * closes all connections when it stops.
 */
export abstract class HttpStandIn {
	#server: Server | undefined;
	#port = 0;
	readonly #sockets = new Set<Socket>();

	/** Base URL, such as `http://127.0.0.1:40123`. */
	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	/** Address as `host:port`. */
	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	get running(): boolean {
		return this.#server !== undefined;
	}

	/** Starts to listen; a second start after a stop uses the same port again. */
	async start(): Promise<this> {
		const server = createServer();
		server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.on('close', () => this.#sockets.delete(socket));
			socket.on('error', () => socket.destroy());
		});
		const app = polka({
			server,
			onError(error, _request, response) {
				const text = error instanceof Error ? error.message : String(error);
				sendJson(response, 400, {error: {message: text}});
			},
		});
		this.route(app);
		server.on('request', app.handler.bind(app));
		this.#port = await listenOnLoopback(server, this.#port);
		this.#server = server;
		return this;
	}

	/** Stops to listen and destroys all connections. */
	async stop(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		if (server) {
			await new Promise((resolve) => {
				server.close(resolve);
			});
		}
	}

	/** Adds the routes of the stand-in. */
	protected abstract route(app: Polka): void;
}

/** Reads a JSON body; an empty body is an empty object. */
export const readJson = async <Body = Record<string, unknown>>(
	request: IncomingMessage,
): Promise<Body> => {
	const parts: Uint8Array[] = [];
	for await (const part of request) {
		parts.push(part as Uint8Array);
	}

	const text = Buffer.concat(parts).toString('utf8');
	return JSON.parse(text === '' ? '{}' : text) as Body;
};

/** A request with the parts that the router adds. */
export type RoutedRequest = IncomingMessage & {
	params: Record<string, string | string[] | undefined>;
	query: Record<string, unknown>;
};

/** Decoded path parameter of a routed request; the router leaves it encoded. */
export const readParameter = (request: RoutedRequest, name: string): string =>
	decodeURIComponent(String(request.params[name]));

/** Sends a JSON body. */
export const sendJson = (
	response: ServerResponse,
	status: number,
	body: unknown,
): void => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
};

/** Passes errors of an asynchronous handler to the client as status 400. */
export const handle =
	<Request extends IncomingMessage>(
		handler: (request: Request, response: ServerResponse) => Promise<void>,
	) =>
	(request: Request, response: ServerResponse): void => {
		void (async () => {
			try {
				await handler(request, response);
			} catch (error) {
				const message = error instanceof Error ? error.message : String(error);
				sendJson(response, 400, {error: {message}});
			}
		})();
	};
