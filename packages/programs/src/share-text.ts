/** Texts kept for sharing; the cache is emptied when it is full. */
const MAX_SHARED = 20_000;

const shared = new Map<string, string>();

/**
 * Returns an equal text that is stored once. Each command carries its own copies of texts that many
 * programs have in common (caller, labels, engine, daemon); kept copies would cost about 150 bytes
 * per program. The cache is not part of the state and does not affect results.
 *
 * @example
 * ```ts
 * program.callerId = shareText(command.callerId);
 * ```
 */
export const shareText = <Text extends string>(text: Text): Text => {
	const known = shared.get(text);
	if (known !== undefined) {
		return known as Text;
	}

	if (shared.size >= MAX_SHARED) {
		shared.clear();
	}

	shared.set(text, text);
	return text;
};
