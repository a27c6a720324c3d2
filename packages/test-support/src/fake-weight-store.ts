import type {Polka} from 'polka';
import {FakeHttpServer, readParameter, sendJson} from './fake-http-server.ts';

/** Fake weight store that returns 429 when its request rate is exceeded. */
export class FakeWeightStore extends FakeHttpServer {
	/** Served models in order, for tests. */
	readonly served: string[] = [];
	refusedCount = 0;
	readonly #requestsPerSecond: number;
	#recentRequestsMs: number[] = [];

	constructor(requestsPerSecond = 2) {
		super();
		this.#requestsPerSecond = requestsPerSecond;
	}

	protected override addRoutes(app: Polka): void {
		app.get('/weights/:model', (request, response) => {
			const nowMs = Date.now();
			this.#recentRequestsMs = this.#recentRequestsMs.filter(
				(atMs) => atMs > nowMs - 1000,
			);
			if (this.#recentRequestsMs.length >= this.#requestsPerSecond) {
				this.refusedCount++;
				response.setHeader('retry-after', '1');
				sendJson(response, 429, {
					error: {
						message: `More than ${this.#requestsPerSecond} requests in a second.`,
					},
				});
				return;
			}

			this.#recentRequestsMs.push(nowMs);
			const model = readParameter(request, 'model');
			this.served.push(model);
			sendJson(response, 200, {model, sizeBytes: 1_000_000_000});
		});
	}
}
