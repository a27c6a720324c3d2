import {describe, expect, it} from 'vitest';
import {createDocument, createRoute} from './document.fixture.ts';
import {chooseService, RouteTable} from './route-table.ts';

describe('RouteTable', () => {
	const table = new RouteTable(
		createDocument([
			createRoute({name: 'short', pathPrefix: '/'}),
			createRoute({name: 'long', pathPrefix: '/desk/orders/'}),
			createRoute({name: 'middle', pathPrefix: '/desk/'}),
		]),
	);

	it('prefers the longest prefix', () => {
		expect(table.findRoute('example.test', '/desk/orders/7')?.name).toBe(
			'long',
		);
		expect(table.findRoute('example.test', '/desk/orders')?.name).toBe(
			'middle',
		);
	});

	it('does not match a prefix inside the query', () => {
		expect(table.findRoute('example.test', '/?/desk/')?.name).toBe('short');
	});

	it('ignores the case and port of the host, and matches no other host', () => {
		expect(table.findRoute('EXAMPLE.test:8080', '/')?.name).toBe('short');
		expect(table.findRoute('other.test', '/desk/')).toBeUndefined();
	});
});

describe('chooseService', () => {
	it('never chooses a service with a weight of 0', () => {
		const services = [
			{service: 'desk', weight: 3},
			{service: 'models', weight: 0},
		];
		const route = createRoute({services});
		expect(chooseService(route, 0)).toBe('desk');
		expect(chooseService(route, 0.999_999)).toBe('desk');
	});
});
