import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** Reads the body of a request; `undefined` if its connection was closed before the end. */
const readBody = async (request) => {
	const chunks = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk);
		}
	} catch {
		return undefined;
	}

	return Buffer.concat(chunks).toString('latin1');
};

/** Heads that the system forwards are a little larger than those of callers. */
const MAX_HEAD_BYTES = 65_536;

/** Requests that a server runs at a time, and those that it queues beyond them. */
const SLOTS = 6;
const QUEUE_LENGTH = 24;

/** A server of the platform that records what it ran. */
export class Server {
	runs = [];
	/** Takes over the response of a request, if set; returns whether it did. */
	interfere = undefined;
	#running = 0;
	#queue = [];
	#server = createServer(
		{maxHeaderSize: MAX_HEAD_BYTES},
		(request, response) => {
			this.#handle(request, response);
		},
	);

	constructor({id, service, zone, events = 0, workMs = 5}) {
		Object.assign(this, {id, service, zone, events, workMs});
	}

	async start() {
		// By default, Node.js drops the headers after the first thousand.
		this.#server.maxHeadersCount = 0;
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	describe() {
		const {id, service, address, zone} = this;
		return {
			id,
			service,
			address,
			zone,
			version: 'v1',
			slots: SLOTS,
			state: 'ready',
			coldRemainingMs: 0,
			born: 1_700_000_000_000,
		};
	}

	async #handle(request, response) {
		const requestId = request.headers['request-id'];
		response.on('error', () => undefined);
		if (request.headers['target-instance'] !== this.id) {
			this.#refuse(response, 421, requestId ?? '');
			return;
		}

		if (requestId === undefined) {
			this.#refuse(response, 400, '');
			return;
		}

		const body = await readBody(request);
		if (body === undefined) {
			return;
		}

		if (this.#running >= SLOTS && this.#queue.length >= QUEUE_LENGTH) {
			this.#refuse(response, 503, requestId);
			return;
		}

		if (this.#running >= SLOTS) {
			await new Promise((resolve) => {
				this.#queue.push(resolve);
			});
		} else {
			this.#running++;
		}

		try {
			// A request whose connection was closed while it waited is dropped.
			if (!response.destroyed) {
				await this.#run(request, response, {requestId, body});
			}
		} finally {
			const next = this.#queue.shift();
			if (next) {
				next();
			} else {
				this.#running--;
			}
		}
	}

	#refuse(response, status, requestId) {
		response
			.writeHead(status, {'Not-Executed': '1', 'Request-Id': requestId})
			.end();
	}

	async #run(request, response, {requestId, body}) {
		this.runs.push({
			requestId,
			target: request.url,
			headers: request.headers,
			body,
		});
		response.setHeader('Request-Id', requestId);
		response.setHeader('Response-Signature', `signed-${requestId}`);
		if (await this.interfere?.(request, response, body)) {
			return;
		}

		await sleep(this.workMs);
		if (this.events === 0) {
			response.end(`answer to ${requestId}`);
			return;
		}

		response.writeHead(200, {'Content-Type': 'text/event-stream'});
		for (let event = 1; event <= this.events && !response.destroyed; event++) {
			await sleep(this.workMs);
			response.write(`id: ${event}\ndata: ${requestId}-${event}\n\n`);
		}

		response.end();
	}
}
