import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Folder of the case; the build puts each program into a folder that is two levels below the root. */
const root = path.resolve(import.meta.dirname, '../../..');

/** Longest duration of a case, including the start and the stop of its processes. */
const MAX_DURATION_MS = 115_000;

/** What a case may use while it runs. */
export type CaseContext = {
	/** Whether the disruption happens; without it, the rule has to hold. */
	hasTrouble: boolean;
	/** Writes a line to the record of the case. */
	record: (line: string) => void;
	/** Registers a function that is called at the end, also after a failure. */
	onEnd: (end: () => Promise<void>) => void;
};

/** Pauses for a number of milliseconds. */
export const sleep = async (ms: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/**
 * Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
 *
 * @param folder - name of the folder of the case in `review`.
 * @param run - returns what breaks the rule; empty if it held.
 */
export const runCase = async (
	folder: string,
	run: (context: CaseContext) => Promise<string[]>,
): Promise<void> => {
	const file = path.join(root, 'review', folder, 'record.txt');
	const startedAtMs = performance.now();
	writeFileSync(file, '');
	const record = (line: string) => {
		const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(3);
		appendFileSync(file, `${seconds} ${line}\n`);
	};

	const ends: Array<() => Promise<void>> = [];
	const finish = async (code: number) => {
		for (const end of ends.toReversed()) {
			try {
				await end();
			} catch (error) {
				record(`end failed: ${String(error)}`);
			}
		}

		record(`exit ${code}`);
		process.exit(code);
	};

	const timer = setTimeout(() => {
		record('the case took too long');
		void finish(2);
	}, MAX_DURATION_MS);
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			record(`the case was stopped by ${signal}`);
			void finish(2);
		});
	}

	try {
		const hasTrouble = process.env.TROUBLE !== '0';
		record(hasTrouble ? 'with the disruption' : 'without the disruption');
		const breaks = await run({
			hasTrouble,
			record,
			onEnd(end) {
				ends.push(end);
			},
		});
		clearTimeout(timer);
		for (const line of breaks) {
			record(`BROKEN ${line}`);
			console.log(`BROKEN ${line}`);
		}

		if (breaks.length === 0) {
			record('HELD');
			console.log('HELD');
		}

		await finish(breaks.length > 0 ? 1 : 0);
	} catch (error) {
		record(`the case could not run: ${String(error)}`);
		console.error(error);
		await finish(2);
	}
};
