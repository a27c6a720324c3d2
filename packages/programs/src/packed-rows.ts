/**
 * Fixed-width rows packed into one string with one character per byte.
 *
 * A flat one-byte string takes its length plus 16 bytes on the heap. A typed array takes about 200
 * bytes more, and one object per row takes 5 to 10 times the size of the row.
 */
export type PackedRows = string;

/** Returns the number of rows. */
export const countRows = (rows: PackedRows, rowBytes: number): number =>
	rows.length / rowBytes;

/** Returns the bytes of one row. */
export const readRow = (
	rows: PackedRows,
	rowBytes: number,
	index: number,
): Uint8Array & Buffer =>
	Buffer.from(rows.slice(index * rowBytes, (index + 1) * rowBytes), 'latin1');

/**
 * Appends rows. The result is a flat string; concatenation would build up a tree of substrings.
 *
 * @example
 * ```ts
 * rows = appendRows(rows, Buffer.concat([first, second]));
 * ```
 */
export const appendRows = (rows: PackedRows, added: Uint8Array): PackedRows => {
	const bytes = Buffer.allocUnsafe(rows.length + added.length);
	bytes.write(rows, 0, 'latin1');
	bytes.set(added, rows.length);
	return bytes.toString('latin1');
};

/** Keeps the rows for which `keep` returns true; returns the same string when all rows are kept. */
export const filterRows = (
	rows: PackedRows,
	rowBytes: number,
	keep: (index: number) => boolean,
): PackedRows => {
	const kept: string[] = [];
	const count = countRows(rows, rowBytes);
	for (let index = 0; index < count; index++) {
		if (keep(index)) {
			kept.push(rows.slice(index * rowBytes, (index + 1) * rowBytes));
		}
	}

	return kept.length === count
		? rows
		: Buffer.from(kept.join(''), 'latin1').toString('latin1');
};
