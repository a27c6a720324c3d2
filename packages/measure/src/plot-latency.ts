import type {Row} from './row.ts';

const WIDTH = 640;
const HEIGHT = 400;
const MARGIN = 60;
const COLORS = [
	'#888888',
	'#1b9e77',
	'#d95f02',
	'#7570b3',
	'#e7298a',
	'#66a61e',
];

type Point = {load: number; value: number};

const collectSeries = (
	rows: readonly Row[],
	figure: string,
): Map<string, Point[]> => {
	const series = new Map<string, Point[]>();
	for (const row of rows) {
		const value = row[figure];
		if (
			typeof row.load === 'number' &&
			typeof value === 'number' &&
			!row.policy.includes('-without-')
		) {
			const points = series.get(row.policy) ?? [];
			points.push({load: row.load, value});
			series.set(row.policy, points);
		}
	}

	return series;
};

const drawText = (x: number, y: number, text: string, color = '#000000') =>
	`<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" font-size="11" font-family="sans-serif" fill="${color}">${text}</text>`;

type Axes = {
	loads: Set<number>;
	leastLog: number;
	largestLog: number;
	xOf: (load: number) => number;
	yOf: (value: number) => number;
};

const createAxes = (points: Point[]): Axes => {
	const loads = points.map(({load}) => load);
	const logs = points.map(({value}) => Math.log10(value));
	const leastLoad = Math.min(...loads);
	const loadRange = Math.max(0.001, Math.max(...loads) - leastLoad);
	const leastLog = Math.floor(Math.min(...logs));
	const largestLog = Math.max(leastLog + 1, Math.ceil(Math.max(...logs)));
	const logRange = largestLog - leastLog;
	return {
		loads: new Set(loads),
		leastLog,
		largestLog,
		xOf: (load) =>
			MARGIN + ((load - leastLoad) / loadRange) * (WIDTH - 2 * MARGIN),
		yOf: (value) =>
			HEIGHT -
			MARGIN -
			((Math.log10(value) - leastLog) / logRange) * (HEIGHT - 2 * MARGIN),
	};
};

const drawAxes = ({loads, leastLog, largestLog, xOf, yOf}: Axes): string[] => {
	const parts: string[] = [];
	for (let power = leastLog; power <= largestLog; power++) {
		const y = yOf(10 ** power);
		parts.push(
			`<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y.toFixed(1)}" y2="${y.toFixed(1)}" stroke="#dddddd"/>`,
			drawText(4, y + 4, `${10 ** power / 1000} s`),
		);
	}

	for (const load of loads) {
		parts.push(drawText(xOf(load) - 8, HEIGHT - MARGIN + 18, String(load)));
	}

	return parts;
};

const drawLine = (
	{xOf, yOf}: Axes,
	line: Point[],
	{policy, index}: {policy: string; index: number},
): string[] => {
	const color = COLORS[index % COLORS.length]!;
	const path = line
		.map(({load, value}) => `${xOf(load).toFixed(1)},${yOf(value).toFixed(1)}`)
		.join(' ');
	return [
		`<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>`,
		drawText(MARGIN + 8, 40 + 14 * index, policy, color),
	];
};

/** Draws a figure in milliseconds against the load as SVG, one line per policy, on a logarithmic axis. */
export const plotLatency = (
	rows: readonly Row[],
	figure: string,
	title: string,
): string => {
	const series = collectSeries(rows, figure);
	const axes = createAxes([...series.values()].flat());
	const parts = [
		drawText(MARGIN, 20, `${title}: ${figure}`),
		...drawAxes(axes),
		...[...series].flatMap(([policy, line], index) =>
			drawLine(axes, line, {policy, index}),
		),
	];
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}"><rect width="100%" height="100%" fill="#ffffff"/>${parts.join('')}</svg>\n`;
};
