import {execFileSync} from 'node:child_process';
import {
	closeSync,
	constants,
	mkdtempSync,
	openSync,
	readSync,
	rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {BoundedWriter} from './bounded-writer.ts';

const BUFFER_SIZE_BYTES = 8192;

/** More than the capacity of a pipe on this system. */
const PIPE_SIZE_BYTES = 1024 * 1024;

describe('BoundedWriter', () => {
	let folder: string;
	let pipe: string;
	let reader: number;
	let writer: BoundedWriter;

	beforeEach(async () => {
		folder = mkdtempSync(path.join(tmpdir(), 'bounded-writer-'));
		pipe = path.join(folder, 'pipe');
		execFileSync('mkfifo', [pipe]);
		// eslint-disable-next-line no-bitwise
		reader = openSync(pipe, constants.O_RDONLY | constants.O_NONBLOCK);
		writer = await BoundedWriter.open({
			destination: pipe,
			bufferSizeBytes: BUFFER_SIZE_BYTES,
			formatDropped: ({routine, important}) =>
				`dropped routine=${routine} important=${important}\n`,
		});
	});

	afterEach(() => {
		closeSync(reader);
		rmSync(folder, {recursive: true});
	});

	const readAll = (): string => {
		const chunks: Buffer[] = [];
		for (;;) {
			const chunk = Buffer.alloc(65_536);
			try {
				const sizeBytes = readSync(reader, chunk);
				if (sizeBytes === 0) {
					break;
				}

				chunks.push(chunk.subarray(0, sizeBytes));
			} catch {
				// The pipe is empty.
				break;
			}
		}

		return Buffer.concat(chunks).toString();
	};

	const pause = async (durationMs: number) =>
		new Promise((resolve) => {
			setTimeout(resolve, durationMs);
		});

	it('batches routine lines, writes important lines at once and keeps the order', async () => {
		writer.write('one\n', {isImportant: false});
		await pause(5);
		expect(readAll()).toBe('');
		writer.write('two\n', {isImportant: true});
		await writer.close();
		expect(readAll()).toBe('one\ntwo\n');
	});

	describe('while the reader is stopped', () => {
		const line = `${'x'.repeat(99)}\n`;

		/** Fills the pipe and the buffer, returning to the event loop in between, as under load. */
		const fill = async () => {
			for (let sizeBytes = 0; sizeBytes < PIPE_SIZE_BYTES;) {
				for (let count = 0; count < 50; count++) {
					writer.write(line, {isImportant: false});
					sizeBytes += line.length;
				}

				await pause(1);
			}
		};

		it('drops and counts routine lines instead of blocking the writer', async () => {
			await fill();
			const startedAtMs = performance.now();
			writer.write(line, {isImportant: false});
			expect(performance.now() - startedAtMs).toBeLessThan(1000);
			expect(writer.dropped.routine).toBeGreaterThan(0);
			readAll();
		});

		it('keeps buffer space for important lines, up to the limit', async () => {
			await fill();
			const {routine} = writer.dropped;
			writer.write('failure\n', {isImportant: true});
			expect(writer.dropped).toEqual({routine, important: 0});
			for (let count = 0; count < BUFFER_SIZE_BYTES / line.length; count++) {
				writer.write(line, {isImportant: true});
			}

			expect(writer.dropped.important).toBeGreaterThan(0);
			readAll();
		});

		it('reports the number of dropped lines when the reader resumes', async () => {
			await fill();
			let text = '';
			while (!text.includes('after\n')) {
				text += readAll();
				await pause(5);
				writer.write('after\n', {isImportant: false});
			}

			const report = /dropped routine=(\d+) important=0\nafter/u.exec(text);
			expect(Number(report?.[1])).toBeGreaterThan(0);
		});

		it('does not block closing the writer', async () => {
			await fill();
			await writer.close();
			readAll();
		});
	});
});
