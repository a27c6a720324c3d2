import {describe, expect, it} from 'vitest';
import {
	changesSince,
	ConfigurationView,
	createConfigurationState,
	KEPT_OPERATIONS,
	stepConfiguration,
} from './index.ts';
import {changeOf, engineOf} from './resources.fixture.ts';
import {KEPT_CHANGES} from './state.ts';

describe('bounds of the configuration', () => {
	it('keeps the first outcomes of the last 10,000 operations (failure: the state grows for ever, or forgets early)', () => {
		const state = createConfigurationState();
		const operate = (index: number) =>
			stepConfiguration(state, changeOf(`o${index}`, 99, [])).result;
		for (let index = 0; index <= 10_000; index++) {
			operate(index);
		}

		expect(KEPT_OPERATIONS).toBe(10_000);
		expect(state.operations.size).toBe(10_000);
		expect(operate(1)).toMatchObject({outcome: 'conflict', repeated: true});
		expect(operate(0)).toMatchObject({outcome: 'conflict', repeated: false});
	});

	it('sends everything to a view that is too far behind (failure: a restarted daemon misses changes)', () => {
		const state = createConfigurationState();
		for (let index = 0; index < KEPT_CHANGES + 10; index++) {
			const resource = engineOf(`engine-${index % 7}`, {turn: String(index)});
			stepConfiguration(
				state,
				changeOf(`o${index}`, index, [{type: 'apply', resource}]),
			);
		}

		for (const revision of [0, 9, 10, 11, state.revision]) {
			const update = changesSince(state, revision);
			expect('full' in update).toBe(revision <= 10);
			const view = new ConfigurationView();
			view.applyUpdate(changesSince(state, 0));
			expect(view.upstreams).toHaveLength(7);
			expect(view.digest.hash).toBe(state.hash);
		}
	});
});
