import {defineConfig} from 'vitest/config';

export default defineConfig({
	resolve: {conditions: ['source']},
	ssr: {resolve: {conditions: ['source'], externalConditions: ['source']}},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
		// The tests of a deployment run the bundle as separate processes.
		globalSetup: ['platform/src/testing/bundle.ts'],
		// Each worker of an integration test runs up to a dozen processes.
		maxWorkers: 4,
		testTimeout: 60_000,
		hookTimeout: 60_000,
	},
});
