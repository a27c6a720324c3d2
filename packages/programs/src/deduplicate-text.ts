/** Maximum size of the cache, which is cleared when it is full. */
const MAX_CACHED_TEXTS = 20_000;

const cache = new Map<string, string>();

/**
 * Returns one shared instance of equal strings. Each decoded command has its own instances of texts
 * that many programs share (caller, labels, engine, daemon); retaining them would cost about 150
 * bytes per program. The cache is not part of the state and does not affect results.
 *
 * @example
 * ```ts
 * program.callerId = shareText(command.callerId);
 * ```
 */
export const deduplicateText = <Text extends string>(text: Text): Text => {
	const cached = cache.get(text);
	if (cached !== undefined) {
		return cached as Text;
	}

	if (cache.size >= MAX_CACHED_TEXTS) {
		cache.clear();
	}

	cache.set(text, text);
	return text;
};
