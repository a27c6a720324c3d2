import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/**
 * Random draws from a seed.
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
		// The first draws of neighbouring seeds are correlated.
		for (let draw = 0; draw < 16; draw++) {
			this.#generator.next();
		}
	}

	/** Uniform in [0, 1). */
	uniform(): number {
		return (this.#generator.next() + 2 ** 31) / 2 ** 32;
	}

	/** Uniform integer from `min` to `max`, both included. */
	integer(min: number, max: number): number {
		return min + Math.floor(this.uniform() * (max - min + 1));
	}

	chance(probability: number): boolean {
		return this.uniform() < probability;
	}

	pick<Item>(items: readonly Item[]): Item {
		return items[this.integer(0, items.length - 1)]!;
	}
}
