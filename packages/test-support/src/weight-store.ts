import type {Polka} from 'polka';
import {HttpStandIn, readParameter, sendJson} from './http-stand-in.ts';

/** Stand-in of a weight store that answers 429 above its rate. */
export class WeightStore extends HttpStandIn {
	/** Models that were served, in order, for tests. */
	readonly served: string[] = [];
	refusedCount = 0;
	readonly #perSecond: number;
	#recent: number[] = [];

	constructor(requestsPerSecond = 2) {
		super();
		this.#perSecond = requestsPerSecond;
	}

	protected override route(app: Polka): void {
		app.get('/weights/:model', (request, response) => {
			const nowMs = Date.now();
			this.#recent = this.#recent.filter((atMs) => atMs > nowMs - 1000);
			if (this.#recent.length >= this.#perSecond) {
				this.refusedCount++;
				response.setHeader('retry-after', '1');
				sendJson(response, 429, {
					error: {
						message: `More than ${this.#perSecond} requests in a second.`,
					},
				});
				return;
			}

			this.#recent.push(nowMs);
			const model = readParameter(request, 'model');
			this.served.push(model);
			sendJson(response, 200, {model, sizeBytes: 1_000_000_000});
		});
	}
}
