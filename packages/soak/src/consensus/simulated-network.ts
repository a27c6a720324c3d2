import type {RandomSource} from '../random-source.ts';
import type {VirtualTime} from '@marjoramcove/consensus';

/** Probabilities with which the network loses, duplicates and delays messages. */
export type NetworkConditions = {
	lossProbability: number;
	duplicateProbability: number;
	/** Probability of a delay of up to `longDelayMs`, which also reorders messages. */
	longDelayProbability: number;
	longDelayMs: number;
};

export const RELIABLE_NETWORK: NetworkConditions = {
	lossProbability: 0,
	duplicateProbability: 0,
	longDelayProbability: 0,
	longDelayMs: 0,
};

/** Network between the daemons that loses, duplicates, delays and reorders messages. */
export class SimulatedNetwork {
	conditions: NetworkConditions = RELIABLE_NETWORK;
	/** Directions in which messages are dropped without an error, as `from>to`. */
	readonly blocked = new Set<string>();
	readonly counts = {sent: 0, lost: 0, doubled: 0, blocked: 0};
	readonly #time: VirtualTime;
	readonly #random: RandomSource;
	readonly #deliver: (from: string, to: string, bytes: Uint8Array) => void;

	constructor(
		time: VirtualTime,
		random: RandomSource,
		deliver: (from: string, to: string, bytes: Uint8Array) => void,
	) {
		this.#time = time;
		this.#random = random;
		this.#deliver = deliver;
	}

	send(from: string, to: string, bytes: Uint8Array): void {
		this.counts.sent += 1;
		if (this.#random.chance(this.conditions.lossProbability)) {
			this.counts.lost += 1;
			return;
		}

		this.#schedule(from, to, bytes);
		if (this.#random.chance(this.conditions.duplicateProbability)) {
			this.counts.doubled += 1;
			this.#schedule(from, to, bytes);
		}
	}

	#schedule(from: string, to: string, bytes: Uint8Array) {
		const {longDelayProbability, longDelayMs} = this.conditions;
		const delayMs = this.#random.chance(longDelayProbability)
			? this.#random.uniform() * longDelayMs
			: 0.2 + this.#random.uniform() * 3;
		this.#time.schedule(delayMs, () => {
			// Messages that are in flight when the partition begins are lost as well.
			if (this.blocked.has(`${from}>${to}`)) {
				this.counts.blocked += 1;
			} else {
				this.#deliver(from, to, bytes);
			}
		});
	}
}
