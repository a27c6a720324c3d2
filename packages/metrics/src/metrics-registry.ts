import {type Histogram, Int32Histogram} from 'hdr-histogram-js';

/** Label values of one series, for example `{reason: 'token-budget'}`. */
export type LabelValues = Record<string, string>;

/** Rendered quantiles in percent. */
const QUANTILES = [50, 95, 99] as const;

/** Matches label values that need no escaping, which is the common case. */
const PLAIN_PATTERN = /^[\w.:-]*$/u;

const HIGHEST_TRACKABLE_VALUE_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Values by rendered label set. */
type Series<Value> = Map<string, Value>;

type Family =
	| {type: 'counter' | 'gauge'; help: string; series: Series<number>}
	| {type: 'summary'; help: string; series: Series<DurationSeries>};

type DurationSeries = {histogram: Histogram; sumMs: number};

export type Counter = {increment(labels?: LabelValues, amount?: number): void};
export type Gauge = {set(value: number, labels?: LabelValues): void};
export type DurationHistogram = {
	/** Records a duration in milliseconds. */
	record(durationMs: number, labels?: LabelValues): void;
};

const escapeLabelValue = (value: string): string =>
	PLAIN_PATTERN.test(value) ? value : escapeSpecial(value);

const escapeSpecial = (value: string): string =>
	value
		.replaceAll('\\', '\\\\')
		.replaceAll('"', String.raw`\"`)
		.replaceAll('\n', String.raw`\n`);

const formatLabels = (labels: LabelValues): string => {
	let text = '';
	for (const [name, value] of Object.entries(labels)) {
		const separator = text === '' ? '' : ',';
		text += `${separator}${name}="${escapeLabelValue(value)}"`;
	}

	return text;
};

const formatSample = (name: string, labels: string, value: number): string =>
	`${name}${labels === '' ? '' : `{${labels}}`} ${value}`;

const formatSummary = (name: string, series: Series<DurationSeries>) =>
	[...series].flatMap(([labels, {histogram, sumMs}]) => [
		...QUANTILES.map((quantile) =>
			formatSample(
				name,
				[labels, `quantile="${quantile / 100}"`].filter(Boolean).join(','),
				histogram.getValueAtPercentile(quantile) / 1000,
			),
		),
		formatSample(`${name}_sum`, labels, sumMs),
		formatSample(`${name}_count`, labels, histogram.totalCount),
	]);

/**
 * Holds counters, gauges and duration histograms, and renders them as Prometheus text.
 *
 * @example
 * ```ts
 * const registry = new MetricsRegistry();
 * const refusals = registry.counter('marjoramcove_refusals_total', 'Refused requests by reason.');
 * refusals.increment({reason: 'token-budget'});
 * registry.render();
 * ```
 */
export class MetricsRegistry {
	readonly #families = new Map<string, Family>();

	/** Returns the counter of this name, creating it on first use. */
	counter(name: string, help: string): Counter {
		const {series} = this.#getNumberFamily(name, 'counter', help);
		return {
			increment(labels = {}, amount = 1) {
				const key = formatLabels(labels);
				series.set(key, (series.get(key) ?? 0) + amount);
			},
		};
	}

	/** Returns the gauge of this name, creating it on first use. */
	gauge(name: string, help: string): Gauge {
		const {series} = this.#getNumberFamily(name, 'gauge', help);
		return {
			set(value, labels = {}) {
				series.set(formatLabels(labels), value);
			},
		};
	}

	/** Returns the histogram of this name, creating it on first use; quantiles are in milliseconds. */
	histogram(name: string, help: string): DurationHistogram {
		const family: Family = this.#families.get(name) ?? {
			type: 'summary',
			help,
			series: new Map<string, DurationSeries>(),
		};
		this.#families.set(name, family);
		if (family.type !== 'summary') {
			throw new TypeError(`Metric ${name} exists as a ${family.type}.`);
		}

		return {
			record(durationMs, labels = {}) {
				recordDuration(family.series, formatLabels(labels), durationMs);
			},
		};
	}

	/** Renders all metrics in the Prometheus text exposition format. */
	render(): string {
		const lines: string[] = [];
		for (const [name, family] of this.#families) {
			lines.push(
				`# HELP ${name} ${family.help}`,
				`# TYPE ${name} ${family.type}`,
			);
			if (family.type === 'summary') {
				lines.push(...formatSummary(name, family.series));
			} else {
				for (const [labels, value] of family.series) {
					lines.push(formatSample(name, labels, value));
				}
			}
		}

		return lines.join('\n') + '\n';
	}

	#getNumberFamily(name: string, type: 'counter' | 'gauge', help: string) {
		const family = this.#families.get(name) ?? {type, help, series: new Map()};
		if (family.type !== type) {
			throw new TypeError(`Metric ${name} exists as a ${family.type}.`);
		}

		this.#families.set(name, family);
		return family as {series: Series<number>};
	}
}

const recordDuration = (
	series: Series<DurationSeries>,
	key: string,
	durationMs: number,
) => {
	let durations = series.get(key);
	if (!durations) {
		// The histogram starts with the smallest range and is resized for larger values.
		const histogram = new Int32Histogram(1, 2, SIGNIFICANT_DIGITS);
		histogram.autoResize = true;
		durations = {histogram, sumMs: 0};
		series.set(key, durations);
	}

	const durationUs = Math.round(Math.max(0, durationMs) * 1000);
	durations.histogram.recordValue(
		Math.min(durationUs, HIGHEST_TRACKABLE_VALUE_US),
	);
	durations.sumMs += durationMs;
};
