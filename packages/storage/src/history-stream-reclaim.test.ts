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

const actionSequences = fc.array(
	fc.record({action: fc.nat(9), amount: fc.nat(20)}),
	{
		minLength: 5,
		maxLength: 40,
	},
);

/** Uses a stream as a replica does: appends, saves snapshots, deletes, copies from others, and crashes. */
class ReplicaModel {
	readonly disk = new MemoryFileSystem();
	stream!: HistoryStream;
	/** The latest durable snapshot: the first offset that it refers to, and the length of the history. */
	snapshot = {start: 0, end: 0};
	historyStart = 0;
	/** Added to the offset of each deletion, to simulate a wrong calculation. */
	deletionError = 0;

	async reopen() {
		this.disk.crash();
		this.stream = await openStream(this.disk, this.snapshot.start);
		await this.stream.truncate(this.snapshot.end);
		this.historyStart = this.snapshot.start;
	}

	append(amount: number) {
		const start = this.stream.lengthBytes;
		this.stream.append(Buffer.from(textAt(start, start + amount)));
	}

	async save() {
		const taken = {start: this.historyStart, end: this.stream.lengthBytes};
		await this.stream.sync();
		this.snapshot = taken;
	}

	async apply({action, amount}: {action: number; amount: number}) {
		if (action < 4) {
			this.append(amount);
		} else if (action < 6) {
			this.historyStart = Math.min(
				this.historyStart + amount,
				this.stream.lengthBytes,
			);
			await this.save();
		} else
			switch (action) {
				case 6: {
					await this.stream.deleteBefore(
						this.snapshot.start + this.deletionError,
					);

					break;
				}

				case 7: {
					// A snapshot copied from another replica, whose history starts after all local bytes.
					await this.stream.flush();
					this.historyStart = this.stream.lengthBytes + amount;
					this.stream.skipTo(this.historyStart);
					this.append(amount);
					await this.save();

					break;
				}

				case 8: {
					// The same copy, aborted.
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
		const {historyStart, stream} = this;
		const bytes = await stream.read(
			historyStart,
			stream.lengthBytes - historyStart,
		);
		expect(Buffer.from(bytes).toString()).toBe(
			textAt(historyStart, stream.lengthBytes),
		);
	}
}

const runActions = async (
	sequence: Array<{action: number; amount: number}>,
	deletionError = 0,
) => {
	const replica = new ReplicaModel();
	replica.deletionError = deletionError;
	await replica.reopen();
	for (const action of sequence) {
		await replica.apply(action);
		await replica.check();
	}
};

describe('deletion of history', () => {
	it('keeps every referenced byte across crashes, deletions and copies (failure: a history is lost or has wrong bytes)', async () => {
		await fc.assert(
			fc.asyncProperty(actionSequences, async (sequence) =>
				runActions(sequence),
			),
			{seed: 20_261_206, numRuns: 400},
		);
	});

	it('detects the deletion of a segment that is still referenced (failure: the test above cannot fail)', async () => {
		const result = await fc.check(
			fc.asyncProperty(actionSequences, async (sequence) =>
				runActions(sequence, 8),
			),
			{seed: 20_261_206, numRuns: 400, endOnFailure: true},
		);
		expect(result.failed).toBe(true);
	});

	it('deletes whole segments, and on opening those whose deletion a crash undid (failure: the disk fills up)', async () => {
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
		const undeletedDisk = new MemoryFileSystem();
		const undeletedStream = await openStream(undeletedDisk);
		for (const part of ['abcd', 'efgh', 'ijkl']) {
			undeletedStream.append(Buffer.from(part));
			await undeletedStream.sync();
		}

		const reopened = await openStream(undeletedDisk, 9);
		expect(reopened.startOffset).toBe(8);
		expect(await undeletedDisk.forProcess().list('/history')).toHaveLength(1);
	});
});
