/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		prettier: true,
		rules: {
			// The brief asks for the short names that readers of the language expect.
			'unicorn/prevent-abbreviations': 'off',
			// Serial awaits are deliberate where order matters; the single event loop relies on it.
			'no-await-in-loop': 'off',
			// Import order is left to the author; the rule reorders across workspace packages.
			'import-x/order': 'off',
			// Wire formats (OpenAI, Prometheus, YAML labels) fix the case of many keys.
			'@typescript-eslint/naming-convention': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'unicorn/no-process-exit': 'off',
			// Null is part of JSON and of the SSE and OpenAI wire formats.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['**/*.test.ts', '**/*.config.ts', 'platform/*.mjs'],
		rules: {
			// Test libraries and the bundler are dependencies of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'max-nested-callbacks': 'off',
		},
	},
	{ignores: ['**/dist/**', 'out/**']},
];

export default config;
