import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {reservePort} from './reserve-port.ts';

const run = promisify(execFile);

const RANGE = {lowest: 11_000, highest: 11_030};

/** Reserves ports in another process, which holds them until it exits, and returns them. */
const reserveInOtherProcess = async (count: number): Promise<number[]> => {
	const module_ = path.join(import.meta.dirname, 'reserve-port.ts');
	const script = `
		const {reservePort} = await import(${JSON.stringify(module_)});
		const ports = [];
		for (let index = 0; index < ${count}; index++) {
			ports.push(await reservePort(${JSON.stringify(RANGE)}));
		}
		console.log(JSON.stringify(ports));
	`;
	const {stdout} = await run(process.execPath, [
		'--import',
		'tsx',
		'--input-type=module',
		'--eval',
		script,
	]);
	return JSON.parse(stdout) as number[];
};

describe('reservePort', () => {
	describe('with two processes that share a small port range', () => {
		it('reserves no port twice (a daemon would find its port in use)', async () => {
			const own = new Set<number>();
			for (let index = 0; index < 16; index++) {
				own.add(await reservePort(RANGE));
			}

			const others = await reserveInOtherProcess(10);
			expect(others).toHaveLength(10);
			expect(others.filter((port) => own.has(port))).toEqual([]);
		});
	});

	describe('in one process', () => {
		it('reserves each port once, even while nothing listens on it', async () => {
			const range = {lowest: 11_100, highest: 11_107};
			const ports = new Set<number>();
			for (let index = 0; index < 8; index++) {
				ports.add(await reservePort(range));
			}

			expect(ports.size).toBe(8);
			await expect(reservePort(range)).rejects.toThrow('No free port');
		});
	});
});
