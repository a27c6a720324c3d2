import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws from the distributions of the workloads with a seeded generator. */
export class RandomDraws {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Draws a uniform number in [0, 1). */
	readonly next = (): number => uniformFloat64(this.#generator);

	/** Draws a uniform integer; both bounds are inclusive. */
	integer(min: number, max: number): number {
		return min + Math.floor(this.next() * (max - min + 1));
	}

	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}

	/** Draws a log-normal integer of at least 1, given the median and the standard deviation of the logarithm. */
	logNormal(median: number, deviation: number): number {
		const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
		const normal = radius * Math.cos(2 * Math.PI * this.next());
		return Math.max(1, Math.round(median * Math.exp(deviation * normal)));
	}

	/** Draws an index from a Zipf distribution with exponent 1 over `count` items. */
	zipf(count: number): number {
		const index = Math.floor((count + 1) ** this.next()) - 1;
		return Math.min(count - 1, index);
	}

	/** Draws an item by weight; the weights add up to 1. */
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
