import {defineConfig} from 'vitest/config';

export default defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source'], externalConditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
		// Each worker of an integration test runs up to a dozen processes.
		maxWorkers: 4,
		testTimeout: 60_000,
		hookTimeout: 60_000,
	},
});
