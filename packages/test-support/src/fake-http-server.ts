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
 * Base class of the in-process fake HTTP servers. Listens on a loopback port that the operating system
 * assigns, and closes all connections when it stops.
 */
export abstract class FakeHttpServer {
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

	/** Starts listening; a start after a stop reuses the same port. */
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
		this.addRoutes(app);
		server.on('request', app.handler.bind(app));
		this.#port = await listenOnLoopback(server, this.#port);
		this.#server = server;
		return this;
	}

	/** Stops listening and destroys all connections. */
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

	/** Registers the routes of the server. */
	protected abstract addRoutes(app: Polka): void;
}

/** Reads a JSON body; an empty body is read as an empty object. */
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

/** A request with the parameters that the router adds. */
export type RoutedRequest = IncomingMessage & {
	params: Record<string, string | string[] | undefined>;
	query: Record<string, unknown>;
};

/** Returns a decoded path parameter; the router leaves parameters encoded. */
export const readParameter = (request: RoutedRequest, name: string): string =>
	decodeURIComponent(String(request.params[name]));

/** Sends a JSON response, or closes the connection when the headers have already been sent. */
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

/** Wraps an asynchronous handler so that its errors are sent to the client with status 400. */
export const handleAsync =
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
