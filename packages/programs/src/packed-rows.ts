/**
 * Rows of a fixed width, packed into one string with a character per byte.
 *
 * A flat one-byte string costs its length plus 16 bytes on the heap. A typed array costs about 200
 * bytes more, and an object per row 5 to 10 times the row.
 */
export type PackedRows = string;

/** Number of rows. */
export const countRows = (rows: PackedRows, rowBytes: number): number =>
	rows.length / rowBytes;

/** Bytes of one row. */
export const readRow = (
	rows: PackedRows,
	rowBytes: number,
	index: number,
): Uint8Array & Buffer =>
	Buffer.from(rows.slice(index * rowBytes, (index + 1) * rowBytes), 'latin1');

/**
 * Appends rows. The result is a flat string, so that no chain of parts builds up.
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

/** Keeps the rows for which `keep` is true; returns the same string when all are kept. */
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
