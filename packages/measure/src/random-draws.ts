import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded draws from the distributions of the workloads. */
export class RandomDraws {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Uniform in [0, 1). */
	readonly next = (): number => uniformFloat64(this.#generator);

	/** Uniform integer, both bounds included. */
	integer(least: number, largest: number): number {
		return least + Math.floor(this.next() * (largest - least + 1));
	}

	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}

	/** Log-normal integer of at least 1, by its median and the deviation of its logarithm. */
	logNormal(median: number, deviation: number): number {
		const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
		const normal = radius * Math.cos(2 * Math.PI * this.next());
		return Math.max(1, Math.round(median * Math.exp(deviation * normal)));
	}

	/** Position in a Zipf distribution with exponent 1 over `count` items. */
	zipf(count: number): number {
		const position = Math.floor((count + 1) ** this.next()) - 1;
		return Math.min(count - 1, position);
	}

	/** Picks an item by its weight; the weights add up to 1. */
	choose<Item>(items: readonly Item[], weightOf: (item: Item) => number): Item {
		let remaining = this.next();
		for (const item of items) {
			remaining -= weightOf(item);
			if (remaining < 0) {
				return item;
			}
		}

		return items[0]!;
	}
}
