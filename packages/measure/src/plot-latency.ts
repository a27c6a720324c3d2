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
	metric: string,
): Map<string, Point[]> => {
	const series = new Map<string, Point[]>();
	for (const row of rows) {
		const value = row[metric];
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
	minLog: number;
	maxLog: number;
	xOf: (load: number) => number;
	yOf: (value: number) => number;
};

const createAxes = (points: Point[]): Axes => {
	const loads = points.map(({load}) => load);
	const logs = points.map(({value}) => Math.log10(value));
	const minLoad = Math.min(...loads);
	const loadRange = Math.max(0.001, Math.max(...loads) - minLoad);
	const minLog = Math.floor(Math.min(...logs));
	const maxLog = Math.max(minLog + 1, Math.ceil(Math.max(...logs)));
	const logRange = maxLog - minLog;
	return {
		loads: new Set(loads),
		minLog,
		maxLog,
		xOf: (load) =>
			MARGIN + ((load - minLoad) / loadRange) * (WIDTH - 2 * MARGIN),
		yOf: (value) =>
			HEIGHT -
			MARGIN -
			((Math.log10(value) - minLog) / logRange) * (HEIGHT - 2 * MARGIN),
	};
};

const drawAxes = ({loads, minLog, maxLog, xOf, yOf}: Axes): string[] => {
	const parts: string[] = [];
	for (let exponent = minLog; exponent <= maxLog; exponent++) {
		const y = yOf(10 ** exponent);
		parts.push(
			`<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y.toFixed(1)}" y2="${y.toFixed(1)}" stroke="#dddddd"/>`,
			drawText(4, y + 4, `${10 ** exponent / 1000} s`),
		);
	}

	for (const load of loads) {
		parts.push(drawText(xOf(load) - 8, HEIGHT - MARGIN + 18, String(load)));
	}

	return parts;
};

const drawLine = (
	{xOf, yOf}: Axes,
	points: Point[],
	{policy, index}: {policy: string; index: number},
): string[] => {
	const color = COLORS[index % COLORS.length]!;
	const path = points
		.map(({load, value}) => `${xOf(load).toFixed(1)},${yOf(value).toFixed(1)}`)
		.join(' ');
	return [
		`<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>`,
		drawText(MARGIN + 8, 40 + 14 * index, policy, color),
	];
};

/** Plots a metric in milliseconds against the load as SVG, with one line per policy and a logarithmic y axis. */
export const plotLatency = (
	rows: readonly Row[],
	metric: string,
	title: string,
): string => {
	const series = collectSeries(rows, metric);
	const axes = createAxes([...series.values()].flat());
	const parts = [
		drawText(MARGIN, 20, `${title}: ${metric}`),
		...drawAxes(axes),
		...[...series].flatMap(([policy, points], index) =>
			drawLine(axes, points, {policy, index}),
		),
	];
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}"><rect width="100%" height="100%" fill="#ffffff"/>${parts.join('')}</svg>\n`;
};
