import {defineConfig} from 'vitest/config';

export default defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source'], externalConditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts'],
		maxWorkers: 5,
		testTimeout: 30_000,
		hookTimeout: 60_000,
	},
});
