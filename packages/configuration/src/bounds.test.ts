import {describe, expect, it} from 'vitest';
import {
	changesSince,
	ConfigurationView,
	createConfigurationState,
	MAX_RECORDED_OPERATIONS,
	stepConfiguration,
} from './index.ts';
import {createChange, createEngine} from './resources.fixture.ts';
import {MAX_RECENT_CHANGES} from './state.ts';

describe('limits of the configuration', () => {
	it('records the outcomes of the last 10,000 operations (failure: the state grows without limit, or drops outcomes too early)', () => {
		const state = createConfigurationState();
		const sendOperation = (index: number) =>
			stepConfiguration(state, createChange(`o${index}`, 99, [])).result;
		for (let index = 0; index <= 10_000; index++) {
			sendOperation(index);
		}

		expect(MAX_RECORDED_OPERATIONS).toBe(10_000);
		expect(state.operations.size).toBe(10_000);
		expect(sendOperation(1)).toMatchObject({
			outcome: 'conflict',
			repeated: true,
		});
		expect(sendOperation(0)).toMatchObject({
			outcome: 'conflict',
			repeated: false,
		});
	});

	it('sends all resources to a view that is too far behind (failure: a restarted daemon misses changes)', () => {
		const state = createConfigurationState();
		for (let index = 0; index < MAX_RECENT_CHANGES + 10; index++) {
			const resource = createEngine(`engine-${index % 7}`, {
				turn: String(index),
			});
			stepConfiguration(
				state,
				createChange(`o${index}`, index, [{type: 'apply', resource}]),
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
