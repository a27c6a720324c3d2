type Slot = {readonly text: string; uses: number};

/**
 * Texts that many programs have in common (callers, labels), each stored once. A row holds the index
 * of its text. The lowest free index is taken, so that all replicas and restored snapshots assign
 * the same ones.
 */
export class SharedTexts {
	readonly #slots: Array<Slot | undefined> = [];
	readonly #indexes = new Map<string, number>();
	/** Free indexes below the length, in ascending order. */
	readonly #free: number[] = [];

	/** Texts by index, for a snapshot; null where no program uses one. */
	get texts(): Array<string | null> {
		return this.#slots.map((slot) => slot?.text ?? null);
	}

	at(index: number): string {
		return this.#slots[index]!.text;
	}

	/** Index of the text for one more use. */
	acquire(text: string): number {
		const known = this.#indexes.get(text);
		if (known !== undefined) {
			this.#slots[known]!.uses++;
			return known;
		}

		const index = this.#free.shift() ?? this.#slots.length;
		this.#slots[index] = {text, uses: 1};
		this.#indexes.set(text, index);
		return index;
	}

	/** Notes that one use is gone. */
	release(index: number): void {
		const slot = this.#slots[index]!;
		slot.uses--;
		if (slot.uses === 0) {
			this.#indexes.delete(slot.text);
			this.#slots[index] = undefined;
			const before = this.#free.findIndex((free) => free > index);
			this.#free.splice(before === -1 ? this.#free.length : before, 0, index);
		}
	}

	/** Takes the texts of a snapshot; their uses are counted with {@link SharedTexts.reuse}. */
	restore(texts: ReadonlyArray<string | null>): void {
		for (const [index, text] of texts.entries()) {
			this.#slots[index] = text === null ? undefined : {text, uses: 0};
			if (text === null) {
				this.#free.push(index);
			} else {
				this.#indexes.set(text, index);
			}
		}
	}

	/** Counts a use by a program of a snapshot. */
	reuse(index: number): void {
		this.#slots[index]!.uses++;
	}
}
