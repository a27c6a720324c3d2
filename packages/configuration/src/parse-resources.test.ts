import {describe, expect, it} from 'vitest';
import {parseResources} from './index.ts';

const engine = (additionalFields: string) => `kind: Upstream
name: engine-1
labels: {fleet: main}
spec: {type: engine, address: "http://127.0.0.1:9001", zone: zone-a, models: [m], slots: 8, checksFencing: true${additionalFields}}`;

describe('parseResources', () => {
	it('reads several documents and skips empty ones (failure: a trailing comment is an error)', () => {
		const resources = parseResources(
			`${engine('')}\n---\nkind: Selector\nname: all\nspec: {programs: {}, upstreams: {}}\n---\n# end\n`,
		);
		expect(resources).toMatchObject([
			{kind: 'Upstream', labels: {fleet: 'main'}},
			{kind: 'Selector', labels: {}, spec: {priority: 0}},
		]);
	});

	it.each([
		[
			'kind: Selektor\nname: a',
			'document 1: kind: found "Selektor"; allowed: Upstream, Selector, ProgramLabelRule',
		],
		['name: a', 'document 1: kind: found nothing; allowed: Upstream, Selector'],
		[
			engine(', slotz: 8'),
			'document 1: spec.slotz: unknown key; allowed: type, address, zone, models, slots, checksFencing, desired',
		],
		[
			engine(', desired: {models: [m], adapters: [], version: 1, role: mixed}'),
			'document 1: spec.desired.version: found 1; allowed: string',
		],
		[
			`${engine('')}\n---\nkind: Selector\nname: a\nspec: {programs: {}, upstream: {}, upstreams: {}}`,
			'document 2: spec.upstream: unknown key; allowed: programs, upstreams, budget, weights, priority',
		],
		[
			'kind: Selector\nname: a\nspec: {programs: {agent: true}, upstreams: {}}',
			'document 1: spec.programs.agent: found true; allowed: string',
		],
		[
			'kind: Selector\nname: a\nspec: {programs: {}, upstreams: {}, budget: {turns: -1}}',
			'document 1: spec.budget.turns: found -1; allowed: at least 0',
		],
		[
			`${engine('')}\n---\n${engine('')}`,
			'document 2: Upstream engine-1 is also in document 1',
		],
		['kind: [', 'document 1: Flow sequence'],
		['a: 1\na: 2', 'document 1: Map keys must be unique'],
		['- 1', 'document 1: the document: found [1]; allowed: object'],
		['a: *b', 'document 1: Unresolved alias'],
	])(
		'reports the document, the key, the found value and the allowed values for %j (failure: an operator cannot tell what to correct)',
		(text, message) => {
			expect(() => parseResources(text)).toThrow(message);
		},
	);
});
