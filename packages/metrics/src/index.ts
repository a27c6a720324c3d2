export {
	type Counter,
	type DurationHistogram,
	type Gauge,
	type LabelValues,
	MetricsRegistry,
} from './metrics-registry.ts';
