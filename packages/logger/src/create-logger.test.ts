import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createLogger} from './create-logger.ts';

describe('createLogger', () => {
	let folder: string;

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'logger-'));
	});

	afterEach(async () => {
		await rm(folder, {recursive: true});
	});

	describe('destination', () => {
		it('writes one key=value line per event to a file', async () => {
			const file = path.join(folder, 'daemon.log');
			const {logger, close} = await createLogger({
				level: 'info',
				destination: file,
				fields: {daemonId: 'd1'},
			});
			logger.info({event: 'call-accepted', turn: 3, detail: 'two\nlines'});
			logger.debug({event: 'below-the-level'});
			await close();

			const text = await readFile(file, 'utf8');
			const lines = text.trimEnd().split('\n');
			expect(lines).toHaveLength(1);
			expect(lines[0]).toContain('level=info');
			expect(lines[0]).toContain('daemonId=d1 event=call-accepted turn=3');
		});
	});
});
