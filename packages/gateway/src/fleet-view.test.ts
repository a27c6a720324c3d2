import {describe, expect, it} from 'vitest';
import {type FleetTopic, FleetView} from './fleet-view.ts';

const createDocument = (version: number) => ({
	version,
	bytes: Buffer.from(`version ${version}`),
});

describe('FleetView', () => {
	describe('merge', () => {
		it('never goes back, whoever sends an older topic', () => {
			const view = new FleetView();
			view.merge({
				document: createDocument(7),
				servers: {stamp: {term: 3, sequence: 0}, items: []},
			});
			view.merge({
				document: createDocument(6),
				servers: {stamp: {term: 2, sequence: 50}, items: []},
			});
			expect(view.position).toMatchObject({
				documentVersion: 7,
				servers: {term: 3, sequence: 0},
			});
		});

		it('tells listeners only about topics that changed', () => {
			const view = new FleetView();
			const heard: FleetTopic[] = [];
			view.onChange((topic) => {
				heard.push(topic);
			});
			view.merge({document: createDocument(7)});
			view.merge({document: createDocument(7)});
			expect(heard).toEqual(['document']);
		});
	});

	describe('newerThan', () => {
		it('names what another view lacks and nothing else', () => {
			const view = new FleetView();
			view.merge({
				document: createDocument(7),
				shardMap: {version: 1, shards: [], retiringDisks: []},
			});
			expect(view.newerThan(view.position)).toBeUndefined();
			expect(view.newerThan({documentVersion: 6, shardMapVersion: 1})).toEqual({
				document: createDocument(7),
			});
		});
	});

	describe('waitForChange', () => {
		it('ends at a first confirmation, for which restarted daemons wait', async () => {
			const view = new FleetView();
			const waiting = view.waitForChange(60_000);
			view.confirm(5);
			await waiting;
			expect(view.confirmedAtMs).toBe(5);
		});

		it('ends after its time', async () => {
			await expect(new FleetView().waitForChange(1)).resolves.toBeUndefined();
		});
	});

	it('keeps the newest confirmation when an older one arrives late', () => {
		const view = new FleetView();
		view.confirm(50);
		view.confirm(40);
		expect(view.confirmedAtMs).toBe(50);
	});
});
