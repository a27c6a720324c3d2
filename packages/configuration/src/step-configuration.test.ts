import {describe, expect, it} from 'vitest';
import {
	changesSince,
	ConfigurationView,
	createConfigurationState,
	stepConfiguration,
} from './index.ts';
import {
	createChange,
	createEngine,
	createSelector,
} from './resources.fixture.ts';

const apply = (name: string) =>
	({type: 'apply', resource: createEngine(name, {fleet: 'main'})}) as const;

describe('stepConfiguration', () => {
	it('accepts only one of two changes with the same base revision (failure: concurrent operators overwrite each other)', () => {
		const state = createConfigurationState();
		const first = createChange('o1', 0, [apply('engine-1')]);
		const second = createChange('o2', 0, [apply('engine-2')]);
		expect(stepConfiguration(state, first).result).toMatchObject({
			outcome: 'applied',
			revision: 1,
			repeated: false,
		});
		expect(stepConfiguration(state, second).result).toMatchObject({
			outcome: 'conflict',
			currentRevision: 1,
			current: [{name: 'engine-1'}],
		});
	});

	it('answers a resent operation with its recorded outcome (failure: a retry after a lost answer applies the change twice)', () => {
		const state = createConfigurationState();
		const command = createChange('o1', 0, [apply('engine-1')]);
		stepConfiguration(state, command);
		stepConfiguration(state, createChange('o2', 1, [apply('engine-2')]));
		expect(stepConfiguration(state, command).result).toMatchObject({
			outcome: 'applied',
			revision: 1,
			repeated: true,
		});
		expect(state.revision).toBe(2);
	});

	it('updates a view that is behind to the same digest (failure: a daemon misses changes)', () => {
		const state = createConfigurationState();
		const view = new ConfigurationView();
		stepConfiguration(state, createChange('o1', 0, [apply('engine-1')]));
		view.applyUpdate(changesSince(state, 0));
		stepConfiguration(
			state,
			createChange('o2', 1, [
				{
					type: 'apply',
					resource: createSelector('all', {upstreams: {fleet: 'main'}}),
				},
			]),
		);
		expect(view.applyUpdate(changesSince(state, 1))).toBe('applied');
		expect(view.digest).toEqual({revision: 2, hash: state.hash});
		expect(
			view.upstreamsFor({agent: 'a'}, {model: 'agent-large'}),
		).toHaveLength(1);
	});
});
