#!/usr/bin/env node
import process from 'node:process';
import {runDemo} from './run-demo.ts';

const LIMIT_MS = 60_000;
const startMs = performance.now();

const show = (line: string): void => {
	const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
	console.log(`[${seconds.padStart(5)} s] ${line}`);
};

try {
	await runDemo(show);
	const elapsedMs = performance.now() - startMs;
	if (elapsedMs > LIMIT_MS) {
		throw new Error(
			`The demo took ${Math.round(elapsedMs)} ms; the limit is ${LIMIT_MS} ms.`,
		);
	}

	show('the demo is complete');
} catch (error) {
	console.error(`The demo failed: ${(error as Error).message}`);
	process.exitCode = 1;
}
