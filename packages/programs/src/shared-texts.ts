type Slot = {readonly text: string; references: number};

/**
 * Reference-counted table of texts that many programs share (caller ids, labels). A packed program
 * refers to a text by its index. A new text takes the lowest free index, so that all replicas and
 * restored snapshots assign the same indexes.
 */
export class SharedTexts {
	readonly #slots: Array<Slot | undefined> = [];
	readonly #indexes = new Map<string, number>();
	/** Unused indexes below `#slots.length`, in ascending order. */
	readonly #free: number[] = [];

	/** Texts by index, for a snapshot; null at unused indexes. */
	get texts(): Array<string | null> {
		return this.#slots.map((slot) => slot?.text ?? null);
	}

	at(index: number): string {
		return this.#slots[index]!.text;
	}

	/** Adds the text or another reference to it; returns its index. */
	acquire(text: string): number {
		const known = this.#indexes.get(text);
		if (known !== undefined) {
			this.#slots[known]!.references++;
			return known;
		}

		const index = this.#free.shift() ?? this.#slots.length;
		this.#slots[index] = {text, references: 1};
		this.#indexes.set(text, index);
		return index;
	}

	/** Removes one reference; a text without references is removed. */
	release(index: number): void {
		const slot = this.#slots[index]!;
		slot.references--;
		if (slot.references === 0) {
			this.#indexes.delete(slot.text);
			this.#slots[index] = undefined;
			const position = this.#free.findIndex((free) => free > index);
			this.#free.splice(
				position === -1 ? this.#free.length : position,
				0,
				index,
			);
		}
	}

	/** Restores the texts of a snapshot; references are counted with {@link SharedTexts.addReference}. */
	restore(texts: ReadonlyArray<string | null>): void {
		for (const [index, text] of texts.entries()) {
			this.#slots[index] = text === null ? undefined : {text, references: 0};
			if (text === null) {
				this.#free.push(index);
			} else {
				this.#indexes.set(text, index);
			}
		}
	}

	/** Counts the reference of a restored program. */
	addReference(index: number): void {
		this.#slots[index]!.references++;
	}
}
