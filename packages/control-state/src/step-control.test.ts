import fc from 'fast-check';
import {asId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {ControlMachine, encodeControlCommand} from './control-machine.ts';
import {createControlState, stepControl} from './step-control.ts';

const put = (version: number, text: string) => ({
	type: 'put-document' as const,
	version,
	bytes: Buffer.from(text),
});

describe('stepControl', () => {
	describe('put-document', () => {
		it('never replaces the content of a version that is stored', () => {
			const first = stepControl(createControlState(), put(7, 'first'));
			const second = stepControl(first.state, put(7, 'other'));
			expect(second.result).toEqual({status: 'superseded', version: 7});
			expect(second.state).toBe(first.state);
		});

		it('keeps the highest version in any order of arrival, also when versions come again', () => {
			const versions = fc.array(fc.integer({min: 1, max: 50}), {minLength: 1});
			fc.assert(
				fc.property(versions, (sent) => {
					let state = createControlState();
					let highest = 0;
					for (const [index, version] of sent.entries()) {
						const step = stepControl(state, put(version, `${index}`));
						const isHigher = version > highest;
						highest = Math.max(highest, version);
						expect(step.result.status).toBe(
							isHigher ? 'accepted' : 'superseded',
						);
						expect(step.state.document?.version).toBe(highest);
						state = step.state;
					}
				}),
				{seed: 7},
			);
		});
	});

	describe('set-shards', () => {
		it('refuses a plan that another leader has overtaken', () => {
			const plan = {type: 'set-shards' as const, baseVersion: 0, shards: []};
			const first = stepControl(createControlState(), plan);
			expect(first.result.status).toBe('accepted');
			expect(stepControl(first.state, plan).result.status).toBe('conflict');
		});
	});
});

describe('retire-disk', () => {
	it('acknowledges a repeated order without another effect', () => {
		const order = {
			type: 'retire-disk' as const,
			diskId: asId<DiskId>('disk-1'),
		};
		const first = stepControl(createControlState(), order);
		const second = stepControl(first.state, order);
		expect(first.state.shardMap.retiringDisks).toEqual(['disk-1']);
		expect(second.result.status).toBe('superseded');
		expect(second.state).toBe(first.state);
	});
});

describe('ControlMachine', () => {
	it('has the same state after a snapshot', () => {
		const machine = new ControlMachine();
		machine.apply({index: 1, command: encodeControlCommand(put(3, 'text'))});
		const copy = new ControlMachine();
		copy.restoreSnapshot(machine.takeSnapshot());
		expect(copy.state.document?.version).toBe(3);
		expect(Buffer.from(copy.state.document!.bytes).toString()).toBe('text');
	});
});
