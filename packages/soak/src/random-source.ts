import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/**
 * Pseudo-random number generator with a seed.
 *
 * @example
 * ```ts
 * const random = new RandomSource(1);
 * if (random.chance(0.1)) { crash(); }
 * ```
 */
export class RandomSource {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
		// The first numbers of neighbouring seeds are correlated, so they are discarded.
		for (let skipped = 0; skipped < 16; skipped++) {
			this.#generator.next();
		}
	}

	/** Returns a uniformly distributed number in [0, 1). */
	uniform(): number {
		return (this.#generator.next() + 2 ** 31) / 2 ** 32;
	}

	/** Returns a uniformly distributed integer from `min` to `max`, both included. */
	integer(min: number, max: number): number {
		return min + Math.floor(this.uniform() * (max - min + 1));
	}

	/** Returns true with the given probability. */
	chance(probability: number): boolean {
		return this.uniform() < probability;
	}

	/** Returns a random item. */
	pick<Item>(items: readonly Item[]): Item {
		return items[this.integer(0, items.length - 1)]!;
	}
}
