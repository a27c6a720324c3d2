import type {DiskId, GroupId} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodePeerBatch, encodePeerBatch} from './peer-codec.ts';
import type {LogEntry} from './raft-types.ts';

const commands = fc.array(fc.uint8Array({maxLength: 50}), {maxLength: 5});

const createBatch = (payloads: Uint8Array[]) => ({
	from: 'disk-a' as DiskId,
	to: 'disk-b' as DiskId,
	messages: [
		{
			groupId: 'shard-0' as GroupId,
			message: {
				type: 'append' as const,
				term: 3,
				previousIndex: 7,
				previousTerm: 2,
				commitIndex: 6,
				entries: payloads.map((bytes, position): LogEntry => ({
					index: 8 + position,
					term: 3,
					kind: 'command',
					command: Buffer.from(bytes),
				})),
			},
		},
		{
			groupId: 'shard-1' as GroupId,
			message: {type: 'heartbeat' as const, term: 1, commitIndex: 2, round: 3},
		},
	],
});

describe('decodePeerBatch', () => {
	it('returns what was encoded', () => {
		fc.assert(
			fc.property(commands, (payloads) => {
				const batch = createBatch(payloads);
				expect(decodePeerBatch(encodePeerBatch(batch))).toEqual(batch);
			}),
			{seed: 1},
		);
	});

	it('throws only validation errors for corrupt bytes', () => {
		const bytes = encodePeerBatch(createBatch([Buffer.from('abc')]));
		fc.assert(
			fc.property(
				fc.nat({max: bytes.length - 1}),
				fc.nat({max: 255}),
				fc.nat({max: bytes.length}),
				(position, value, length) => {
					const corrupt = Uint8Array.from(bytes.subarray(0, length));
					corrupt[position] = value;
					try {
						decodePeerBatch(corrupt);
					} catch (error) {
						expect(error).toMatchObject({reason: 'invalid-input'});
					}
				},
			),
			{seed: 1, numRuns: 2000},
		);
	});
});
