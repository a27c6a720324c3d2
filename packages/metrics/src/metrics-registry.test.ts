import {describe, expect, it} from 'vitest';
import {MetricsRegistry} from './metrics-registry.ts';

describe('MetricsRegistry', () => {
	describe('counter', () => {
		it('counts each label set separately', () => {
			const registry = new MetricsRegistry();
			const refusals = registry.counter('refusals_total', 'Refused requests.');
			refusals.increment({reason: 'token-budget'});
			refusals.increment({reason: 'token-budget'}, 2);
			refusals.increment({reason: 'overloaded'});

			expect(registry.render()).toBe(
				'# HELP refusals_total Refused requests.\n' +
					'# TYPE refusals_total counter\n' +
					'refusals_total{reason="token-budget"} 3\n' +
					'refusals_total{reason="overloaded"} 1\n',
			);
		});

		it('escapes label values, so that a value cannot break its line', () => {
			const registry = new MetricsRegistry();
			registry.counter('a_total', 'A.').increment({reason: 'x"\n'});
			expect(registry.render()).toContain(
				String.raw`a_total{reason="x\"\n"} 1`,
			);
		});

		it('refuses a name that another type of metric uses', () => {
			const registry = new MetricsRegistry();
			registry.gauge('x', 'X.');
			expect(() => registry.counter('x', 'X.')).toThrow('exists as a gauge');
		});
	});

	describe('histogram', () => {
		it('renders quantiles in milliseconds, the sum and the count', () => {
			const registry = new MetricsRegistry();
			const latency = registry.histogram('latency_ms', 'Latency.');
			for (let durationMs = 1; durationMs <= 100; durationMs++) {
				latency.record(durationMs);
			}

			const text = registry.render();
			const median = Number(/quantile="0.5"} (\S+)/.exec(text)?.[1]);
			expect(median).toBeGreaterThan(49);
			expect(median).toBeLessThan(51.5);
			expect(text).toContain('latency_ms_sum 5050');
			expect(text).toContain('latency_ms_count 100');
		});
	});
});
