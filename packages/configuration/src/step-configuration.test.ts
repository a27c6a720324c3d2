import {describe, expect, it} from 'vitest';
import {
	changesSince,
	ConfigurationView,
	createConfigurationState,
	stepConfiguration,
} from './index.ts';
import {changeOf, engineOf, selectorOf} from './resources.fixture.ts';

const apply = (name: string) =>
	({type: 'apply', resource: engineOf(name, {fleet: 'main'})}) as const;

describe('stepConfiguration', () => {
	it('lets one of two changes with the same base win (failure: racing operators overwrite each other)', () => {
		const state = createConfigurationState();
		const first = changeOf('o1', 0, [apply('engine-1')]);
		const second = changeOf('o2', 0, [apply('engine-2')]);
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

	it('gives a resent operation its first outcome (failure: a lost answer applies a change twice)', () => {
		const state = createConfigurationState();
		const command = changeOf('o1', 0, [apply('engine-1')]);
		stepConfiguration(state, command);
		stepConfiguration(state, changeOf('o2', 1, [apply('engine-2')]));
		expect(stepConfiguration(state, command).result).toMatchObject({
			outcome: 'applied',
			revision: 1,
			repeated: true,
		});
		expect(state.revision).toBe(2);
	});

	it('brings a view that is behind to the same digest (failure: a daemon works with lost changes)', () => {
		const state = createConfigurationState();
		const view = new ConfigurationView();
		stepConfiguration(state, changeOf('o1', 0, [apply('engine-1')]));
		view.applyUpdate(changesSince(state, 0));
		stepConfiguration(
			state,
			changeOf('o2', 1, [
				{
					type: 'apply',
					resource: selectorOf('all', {upstreams: {fleet: 'main'}}),
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
