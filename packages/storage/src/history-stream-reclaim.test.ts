import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {HistoryStream} from './history-stream.ts';
import {MemoryFileSystem} from './memory-file-system.ts';

const openStream = async (disk: MemoryFileSystem, startOffset = 0) =>
	HistoryStream.open(disk.forProcess(), '/history', {
		segmentSizeBytes: 4,
		startOffset,
	});

const textAt = (start: number, end: number) =>
	Buffer.from(
		Array.from(
			{length: end - start},
			(_, index) => 97 + ((start + index) % 26),
		),
	).toString();

const choices = fc.array(fc.record({action: fc.nat(9), amount: fc.nat(20)}), {
	minLength: 5,
	maxLength: 40,
});

/** What a replica does: it appends, saves snapshots, deletes, copies from others, and crashes. */
class Model {
	readonly disk = new MemoryFileSystem();
	stream!: HistoryStream;
	/** The latest durable snapshot: first needed offset and length. */
	snapshot = {start: 0, end: 0};
	floor = 0;
	/** Error added to the floor at a deletion. */
	floorError = 0;

	async reopen() {
		this.disk.crash();
		this.stream = await openStream(this.disk, this.snapshot.start);
		await this.stream.truncate(this.snapshot.end);
		this.floor = this.snapshot.start;
	}

	append(amount: number) {
		const start = this.stream.lengthBytes;
		this.stream.append(Buffer.from(textAt(start, start + amount)));
	}

	async save() {
		const taken = {start: this.floor, end: this.stream.lengthBytes};
		await this.stream.sync();
		this.snapshot = taken;
	}

	async act({action, amount}: {action: number; amount: number}) {
		if (action < 4) {
			this.append(amount);
		} else if (action < 6) {
			this.floor = Math.min(this.floor + amount, this.stream.lengthBytes);
			await this.save();
		} else
			switch (action) {
				case 6: {
					await this.stream.deleteBefore(this.snapshot.start + this.floorError);

					break;
				}

				case 7: {
					// The copy of a snapshot whose history begins after everything here.
					await this.stream.flush();
					this.floor = this.stream.lengthBytes + amount;
					this.stream.skipTo(this.floor);
					this.append(amount);
					await this.save();

					break;
				}

				case 8: {
					// The same copy, given up.
					await this.stream.flush();
					const length = this.stream.lengthBytes;
					this.stream.skipTo(length + amount);
					this.append(amount);
					await this.stream.truncate(length);

					break;
				}

				default: {
					await this.reopen();
				}
			}
	}

	async check() {
		const {floor, stream} = this;
		const bytes = await stream.read(floor, stream.lengthBytes - floor);
		expect(Buffer.from(bytes).toString()).toBe(
			textAt(floor, stream.lengthBytes),
		);
	}
}

const runModel = async (
	sequence: Array<{action: number; amount: number}>,
	floorError = 0,
) => {
	const model = new Model();
	model.floorError = floorError;
	await model.reopen();
	for (const choice of sequence) {
		await model.act(choice);
		await model.check();
	}
};

describe('deletion of history', () => {
	it('keeps every byte that is referred to over crashes, deletions and copies (failure: a history is lost or reads other bytes)', async () => {
		await fc.assert(
			fc.asyncProperty(choices, async (sequence) => runModel(sequence)),
			{seed: 20_261_206, numRuns: 400},
		);
	});

	it('shows a deletion of a segment that is still referred to (failure: the check above cannot fail)', async () => {
		const found = await fc.check(
			fc.asyncProperty(choices, async (sequence) => runModel(sequence, 8)),
			{seed: 20_261_206, numRuns: 400, endOnFailure: true},
		);
		expect(found.failed).toBe(true);
	});

	it('deletes whole segments, and again those that a crash brought back (failure: the disk fills up)', async () => {
		const disk = new MemoryFileSystem();
		const stream = await openStream(disk);
		for (const part of ['abcd', 'efgh', 'ijkl']) {
			stream.append(Buffer.from(part));
			await stream.sync();
		}

		await stream.deleteBefore(9);
		expect(stream.startOffset).toBe(8);
		expect(stream.reclaimedBytes).toBe(8);
		await expect(stream.read(4, 4)).rejects.toMatchObject({
			reason: 'invalid-input',
		});
		const other = new MemoryFileSystem();
		const undeleted = await openStream(other);
		for (const part of ['abcd', 'efgh', 'ijkl']) {
			undeleted.append(Buffer.from(part));
			await undeleted.sync();
		}

		const later = await openStream(other, 9);
		expect(later.startOffset).toBe(8);
		expect(await other.forProcess().list('/history')).toHaveLength(1);
	});
});
