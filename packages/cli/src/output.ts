import Table from 'cli-table3';

/** Output streams of a command; tests record the text. */
export type Output = {
	write(text: string): void;
	writeError(text: string): void;
};

/** Column of a table: its heading and a function that reads the cell of a row. */
export type Column<Row> = [heading: string, read: (row: Row) => unknown];

const formatCell = (value: unknown): string => {
	if (value === undefined || value === null) {
		return '-';
	}

	if (Array.isArray(value)) {
		return value.map((entry) => formatCell(entry)).join(',');
	}

	return typeof value === 'object'
		? formatLabels(value as Record<string, unknown>)
		: `${value as string}`;
};

/** Formats labels and other flat records as comma-separated `key=value` pairs. */
export const formatLabels = (labels: Record<string, unknown>): string => {
	const entries = Object.entries(labels);
	return entries.length === 0
		? '-'
		: entries.map(([key, value]) => `${key}=${formatCell(value)}`).join(',');
};

/**
 * Formats a table without borders.
 *
 * @example
 * ```ts
 * formatTable([['NAME', (row) => row.name]], [{name: 'engine-1'}]);
 * ```
 */
export const formatTable = <Row>(
	columns: Array<Column<Row>>,
	rows: readonly Row[],
): string => {
	const table = new Table({
		head: columns.map(([heading]) => heading),
		chars: {
			top: '',
			'top-mid': '',
			'top-left': '',
			'top-right': '',
			bottom: '',
			'bottom-mid': '',
			'bottom-left': '',
			'bottom-right': '',
			left: '',
			'left-mid': '',
			mid: '',
			'mid-mid': '',
			right: '',
			'right-mid': '',
			middle: '  ',
		},
		style: {'padding-left': 0, 'padding-right': 0, head: [], border: []},
	});
	for (const row of rows) {
		table.push(columns.map(([, read]) => formatCell(read(row))));
	}

	return `${table
		.toString()
		.split('\n')
		.map((line) => line.trimEnd())
		.join('\n')}\n`;
};

/** Formats a record as lines of `key: value`, with nested values as JSON. */
export const formatRecord = (record: Record<string, unknown>): string => {
	const width = Math.max(...Object.keys(record).map((key) => key.length));
	return Object.entries(record)
		.map(
			([key, value]) =>
				`${`${key}:`.padEnd(width + 2)}${typeof value === 'object' ? JSON.stringify(value) : String(value as string)}\n`,
		)
		.join('');
};

/** Formats a value as indented JSON. */
export const formatJson = (value: unknown): string =>
	`${JSON.stringify(value, undefined, 2)}\n`;
