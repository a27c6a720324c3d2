import {describe, expect, it} from 'vitest';
import {BODY_UNREADABLE_CODE, readStreamedBody} from './request-body.ts';

const readAll = async (
	lengthBytes: number,
	read: () => AsyncIterable<Uint8Array>,
): Promise<number> => {
	let sizeBytes = 0;
	for await (const chunk of readStreamedBody({lengthBytes, read})) {
		sizeBytes += chunk.length;
	}

	return sizeBytes;
};

describe('readStreamedBody', () => {
	it('passes on a body of the announced length', async () => {
		const sizeBytes = await readAll(5, async function* () {
			yield Buffer.from('abc');
			yield Buffer.from('de');
		});
		expect(sizeBytes).toBe(5);
	});

	it('fails when the body ends early, so that the server gets no part of it as the whole', async () => {
		const reading = readAll(5, async function* () {
			yield Buffer.from('abc');
		});
		await expect(reading).rejects.toMatchObject({code: BODY_UNREADABLE_CODE});
	});

	it('names the reason when the body cannot be read', async () => {
		const reading = readAll(5, async function* () {
			yield Buffer.from('abc');
			throw new Error('The shard does not answer.');
		});
		await expect(reading).rejects.toMatchObject({
			code: BODY_UNREADABLE_CODE,
			message: 'The shard does not answer.',
		});
	});
});
