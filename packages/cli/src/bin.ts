#!/usr/bin/env node
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {runCli} from './run-cli.ts';

process.exitCode = await runCli(process.argv.slice(2), {
	output: {
		write(chunk) {
			process.stdout.write(chunk);
		},
		writeError(chunk) {
			process.stderr.write(chunk);
		},
	},
	environment: process.env,
	readInput: async () => text(process.stdin),
});
