import {describe, expect, it} from 'vitest';
import {ConfigurationView, planApply} from './index.ts';
import {
	createEngine,
	createLabelRule,
	createSelector,
} from './resources.fixture.ts';

const current = [
	createEngine('engine-1', {fleet: 'main'}),
	createEngine('engine-2', {fleet: 'main'}),
];

describe('planApply', () => {
	it('keeps absent resources without prune (failure: a partial file deletes upstreams)', () => {
		const plan = planApply(current, [
			createEngine('engine-1', {fleet: 'spare'}),
		]);
		expect(plan.changes).toMatchObject([{type: 'apply'}]);
		expect(plan.differences).toEqual([
			{
				kind: 'Upstream',
				name: 'engine-1',
				action: 'update',
				fields: [{path: 'labels.fleet', before: 'main', after: 'spare'}],
			},
			{kind: 'Upstream', name: 'engine-2', action: 'keep', fields: []},
		]);
	});

	it('deletes absent resources with prune and warns (failure: prune does nothing, or interrupts calls without a warning)', () => {
		const plan = planApply(current, [current[0]!], {prune: true});
		expect(plan.changes).toEqual([
			{type: 'delete', kind: 'Upstream', name: 'engine-2'},
		]);
		expect(plan.warnings).toEqual([
			'Upstream engine-2 would be deleted without the label leaving: "true" first.',
		]);
	});

	it('warns of a selector that matches no upstream (failure: because of a misspelt label, all calls are refused)', () => {
		const plan = planApply(current, [
			createSelector('a', {upstreams: {fleeet: 'main'}}),
		]);
		expect(plan.warnings).toEqual([
			'Selector a matches no upstream: spec.upstreams is {"fleeet":"main"}.',
		]);
	});
});

describe('ConfigurationView', () => {
	const view = new ConfigurationView();
	view.applyUpdate({
		full: [
			createEngine('engine-1', {fleet: 'main'}),
			createEngine('engine-2', {fleet: 'main', leaving: 'true'}),
			createLabelRule('halls', {agent: 'coach'}, {tier: 'hall'}),
			createSelector('a', {
				programs: {tier: 'hall'},
				upstreams: {fleet: 'main'},
				budget: {turns: 5},
				priority: 1,
			}),
			createSelector('b', {
				upstreams: {fleet: 'x'},
				budget: {tokens: 7, turns: 9},
			}),
		],
		digest: {revision: 1, hash: 'h'},
	});

	it('applies label rules, the smallest budget and leaving labels (failure: a program runs where no selector allows it)', () => {
		const target = {model: 'agent-large'};
		const names = (labels: Record<string, string>) =>
			view.upstreamsFor(labels, target).map(({name}) => name);
		expect(names({agent: 'coach'})).toEqual(['engine-1']);
		expect(names({agent: 'other'})).toEqual([]);
		expect(view.upstreamsFor({tier: 'hall'}, {model: 'other'})).toEqual([]);
		expect(view.selectorsFor({agent: 'coach'}).map(({name}) => name)).toEqual([
			'a',
			'b',
		]);
		const requested = {tokens: 100, turns: 100, wallTimeMs: 100};
		expect(view.budgetFor({agent: 'coach'}, requested)).toEqual({
			tokens: 7,
			turns: 5,
			wallTimeMs: 100,
		});
	});

	it('recomputes the lists of upstreams after an update (failure: calls still go to an upstream that no selector allows)', () => {
		const updatedView = new ConfigurationView();
		const target = {model: 'agent-large'};
		const names = (includeLeaving: boolean) =>
			updatedView
				.upstreamsFor({}, target, {includeLeaving})
				.map(({name}) => name);
		const first = createEngine('engine-1', {fleet: 'main', leaving: 'true'});
		const selector = createSelector('a', {upstreams: {fleet: 'main'}});
		updatedView.applyUpdate({
			full: [first, selector],
			digest: {revision: 1, hash: 'h1'},
		});
		expect(names(true)).toEqual(['engine-1']);
		expect(names(false)).toEqual([]);
		expect(updatedView.upstreamFor(first.name, {}, target)).toBeUndefined();
		expect(
			updatedView.upstreamFor(first.name, {}, target, {includeLeaving: true}),
		).toEqual(first);
		updatedView.applyUpdate({
			full: [
				createEngine('engine-1', {fleet: 'spare'}),
				createEngine('engine-2', {fleet: 'main'}),
				selector,
			],
			digest: {revision: 2, hash: 'h2'},
		});
		expect(names(true)).toEqual(['engine-2']);
		expect(
			updatedView.upstreamFor(first.name, {}, target, {includeLeaving: true}),
		).toBeUndefined();
	});

	it('throws on a different hash for its revision (failure: two daemons use different configurations)', () => {
		expect(() =>
			view.applyUpdate({full: [], digest: {revision: 1, hash: 'other'}}),
		).toThrow('same-revision-same-hash');
	});
});
