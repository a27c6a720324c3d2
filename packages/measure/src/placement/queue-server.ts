import type {RandomDraws} from '../random-draws.ts';
import type {VirtualClock} from '../virtual-clock.ts';
import {type DrawnServer, failsAt, slownessAt} from './draw-servers.ts';

/** How a server of the play ends a request. */
export type PlayedEnd = 'answered' | 'error' | 'full';

export type PlayedRequest = {
	/** Called at the first event and every `CHUNKS` events; plain calls have one event. */
	onChunk: () => void;
	onEnd: (end: PlayedEnd) => void;
};

/** Service times; a stream first reads its prompt and then sends events. */
export type ServiceTimes = {usualMs: number; readMs: number; chunks: number};

/** Time in which a failing server answers. */
const ERROR_MS = 2;

/** Queue of a server beyond its slots, as multiple of the slots. */
const QUEUE_PER_SLOT = 4;

/** Relative spread of service times (uniform). */
const SPREAD = 0.3;

/** A server with slots and a queue in order of arrival. */
export class QueueServer {
	readonly slots: number;
	served = 0;
	readonly #drawn: DrawnServer;
	readonly #clock: VirtualClock;
	readonly #draws: RandomDraws;
	readonly #times: ServiceTimes;
	readonly #waiting: PlayedRequest[] = [];
	#running = 0;

	constructor(
		drawn: DrawnServer,
		{
			clock,
			draws,
			slots,
			times,
		}: {
			clock: VirtualClock;
			draws: RandomDraws;
			slots: number;
			times: ServiceTimes;
		},
	) {
		this.#drawn = drawn;
		this.slots = slots;
		this.#clock = clock;
		this.#draws = draws;
		this.#times = times;
	}

	get drawn(): DrawnServer {
		return this.#drawn;
	}

	receive(request: PlayedRequest): void {
		if (failsAt(this.#drawn, this.#clock.nowMs)) {
			this.#clock.after(ERROR_MS, () => {
				request.onEnd('error');
			});
		} else if (this.#running < this.slots) {
			this.#run(request);
		} else if (this.#waiting.length < this.slots * QUEUE_PER_SLOT) {
			this.#waiting.push(request);
		} else {
			this.#clock.after(1, () => {
				request.onEnd('full');
			});
		}
	}

	#run(request: PlayedRequest): void {
		this.#running++;
		const {readMs, usualMs, chunks} = this.#times;
		const spread = 1 + SPREAD * (2 * this.#draws.next() - 1);
		const stepMs = ((usualMs - readMs) * spread) / chunks;
		this.#step(request, {left: chunks, stepMs, firstMs: readMs * spread});
	}

	/** Work in progress takes longer from the moment at which the server slows down. */
	#step(
		request: PlayedRequest,
		{left, stepMs, firstMs}: {left: number; stepMs: number; firstMs: number},
	): void {
		const slowness = slownessAt(this.#drawn, this.#clock.nowMs);
		this.#clock.after((firstMs > 0 ? firstMs : stepMs) * slowness, () => {
			request.onChunk();
			const next = firstMs > 0 ? left : left - 1;
			if (next > 0) {
				this.#step(request, {left: next, stepMs, firstMs: 0});
				return;
			}

			this.served++;
			this.#running--;
			request.onEnd('answered');
			const waiting = this.#waiting.shift();
			if (waiting) {
				this.#run(waiting);
			}
		});
	}
}
