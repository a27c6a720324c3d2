import {describe, expect, it} from 'vitest';
import {checkDocument} from './check-document.ts';
import {createDocument, createRoute} from './document.fixture.ts';

describe('checkDocument', () => {
	describe('an invalid document', () => {
		const cases: Array<[string, Parameters<typeof createRoute>[0]]> = [
			['unknown service', {services: [{service: 'nobody', weight: 1}]}],
			['add up to 0', {services: [{service: 'desk', weight: 0}]}],
			['timeout', {timeoutMs: 0}],
			['slash', {pathPrefix: '/desk'}],
		];
		for (const [found, changes] of cases) {
			it(`is rejected: ${found}`, () => {
				const document = createDocument([createRoute(changes)]);
				expect(() => {
					checkDocument(document);
				}).toThrow(found);
			});
		}

		it('is rejected when two routes share host and prefix', () => {
			const document = createDocument([
				createRoute(),
				createRoute({name: 'r-2', host: 'EXAMPLE.test'}),
			]);
			expect(() => {
				checkDocument(document);
			}).toThrow('share host and prefix');
		});
	});

	it('accepts a weight of 0 next to a positive one', () => {
		const services = [
			{service: 'desk', weight: 0},
			{service: 'models', weight: 5},
		];
		expect(() => {
			checkDocument(createDocument([createRoute({services})]));
		}).not.toThrow();
	});
});
