import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hashes text to 64 bits, with the same result on all daemons. */
export const hashText = (text: string): bigint => hasher.h64(text);

/**
 * Sorts items by a hash of a key and their own id, the highest hash first (rendezvous hashing).
 * Removing an item does not change the order of the others.
 *
 * @example
 * ```ts
 * rankByHash('engine-1', ['d1', 'd2', 'd3'], (id) => id)[0];
 * ```
 */
export const rankByHash = <Item>(
	key: string,
	items: readonly Item[],
	getId: (item: Item) => string,
): Item[] =>
	items
		.map((item) => {
			const id = getId(item);
			return {item, id, hash: hashText(`${key}\n${id}`)};
		})
		.sort((a, b) =>
			a.hash === b.hash ? (a.id < b.id ? -1 : 1) : a.hash > b.hash ? -1 : 1,
		)
		.map(({item}) => item);
