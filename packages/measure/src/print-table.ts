import Table from 'cli-table3';
import type {Row} from './row.ts';

const formatValue = (value: number | string | null | undefined): string => {
	if (typeof value !== 'number') {
		return value ?? '-';
	}

	return Number.isInteger(value) || Math.abs(value) >= 100
		? String(Math.round(value))
		: value.toPrecision(3);
};

/** Formats the given columns of the rows as a text table. */
export const formatTable = (
	rows: readonly Row[],
	columns: string[],
): string => {
	const table = new Table({
		head: columns,
		style: {head: [], border: [], compact: true},
	});
	for (const row of rows) {
		table.push(columns.map((column) => formatValue(row[column])));
	}

	return table.toString();
};

/** Formats the given columns of the rows as a Markdown table. */
export const formatMarkdown = (
	rows: readonly Row[],
	columns: string[],
): string =>
	[
		`| ${columns.join(' | ')} |`,
		`|${columns.map(() => '---').join('|')}|`,
		...rows.map(
			(row) =>
				`| ${columns.map((column) => formatValue(row[column])).join(' | ')} |`,
		),
	].join('\n');
