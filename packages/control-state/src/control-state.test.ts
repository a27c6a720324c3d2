import fc from 'fast-check';
import {asId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	ControlStateMachine,
	encodeControlCommand,
} from './control-state-machine.ts';
import {applyControlCommand, createControlState} from './control-state.ts';

const put = (version: number, text: string) => ({
	type: 'put-document' as const,
	version,
	bytes: Buffer.from(text),
});

describe('applyControlCommand', () => {
	describe('put-document', () => {
		it('never replaces the content of a stored version', () => {
			const first = applyControlCommand(createControlState(), put(7, 'first'));
			const second = applyControlCommand(first.state, put(7, 'other'));
			expect(second.result).toEqual({status: 'superseded', version: 7});
			expect(second.state).toBe(first.state);
		});

		it('keeps the highest version for any order of arrival, including repeated versions', () => {
			const versions = fc.array(fc.integer({min: 1, max: 50}), {minLength: 1});
			fc.assert(
				fc.property(versions, (versionsInOrder) => {
					let state = createControlState();
					let highest = 0;
					for (const [index, version] of versionsInOrder.entries()) {
						const applied = applyControlCommand(
							state,
							put(version, `${index}`),
						);
						const isHigher = version > highest;
						highest = Math.max(highest, version);
						expect(applied.result.status).toBe(
							isHigher ? 'accepted' : 'superseded',
						);
						expect(applied.state.document?.version).toBe(highest);
						state = applied.state;
					}
				}),
				{seed: 7},
			);
		});
	});

	describe('set-shards', () => {
		it('rejects a plan that is based on an outdated shard map', () => {
			const plan = {type: 'set-shards' as const, baseVersion: 0, shards: []};
			const first = applyControlCommand(createControlState(), plan);
			expect(first.result.status).toBe('accepted');
			expect(applyControlCommand(first.state, plan).result.status).toBe(
				'conflict',
			);
		});
	});
});

describe('retire-disk', () => {
	it('acknowledges a repeated command without changing the state', () => {
		const command = {
			type: 'retire-disk' as const,
			diskId: asId<DiskId>('disk-1'),
		};
		const first = applyControlCommand(createControlState(), command);
		const second = applyControlCommand(first.state, command);
		expect(first.state.shardMap.retiringDisks).toEqual(['disk-1']);
		expect(second.result.status).toBe('superseded');
		expect(second.state).toBe(first.state);
	});
});

describe('ControlStateMachine', () => {
	it('restores the same state from a snapshot', () => {
		const machine = new ControlStateMachine();
		machine.apply({index: 1, command: encodeControlCommand(put(3, 'text'))});
		const restored = new ControlStateMachine();
		restored.restoreSnapshot(machine.takeSnapshot());
		expect(restored.state.document?.version).toBe(3);
		expect(Buffer.from(restored.state.document!.bytes).toString()).toBe('text');
	});
});
