#!/usr/bin/env node
import process from 'node:process';
import {runDemo} from './run-demo.ts';

const TIME_LIMIT_MS = 60_000;
const startMs = performance.now();

const printLine = (line: string): void => {
	const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
	console.log(`[${seconds.padStart(5)} s] ${line}`);
};

try {
	await runDemo(printLine);
	const elapsedMs = performance.now() - startMs;
	if (elapsedMs > TIME_LIMIT_MS) {
		throw new Error(
			`The demo took ${Math.round(elapsedMs)} ms; the limit is ${TIME_LIMIT_MS} ms.`,
		);
	}

	printLine('the demo is complete');
} catch (error) {
	console.error(`The demo failed: ${(error as Error).message}`);
	process.exitCode = 1;
}
