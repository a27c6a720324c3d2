import {describe, expect, it} from 'vitest';
import {request} from 'undici';
import {FakeWeightStore} from './fake-weight-store.ts';
import {FakeVmList} from './fake-vm-list.ts';
import {waitFor} from './wait-for.ts';

describe('FakeWeightStore', () => {
	it('returns 429 above its request rate', async () => {
		const store = await new FakeWeightStore(1).start();
		const statuses = [];
		for (let index = 0; index < 2; index++) {
			const answer = await request(`${store.url}/weights/agent-large`);
			await answer.body.dump();
			statuses.push(answer.statusCode);
		}

		await store.stop();
		expect(statuses).toEqual([200, 429]);
	});
});

describe('FakeVmList', () => {
	it('shows a change only after the delay', async () => {
		const list = await new FakeVmList(200).start();
		const read = async () => {
			const answer = await request(`${list.url}/vms`);
			const body = (await answer.body.json()) as {
				vms: Array<{state: string}>;
			};
			return body.vms[0]?.state;
		};

		list.set([{address: '127.0.0.1:1', state: 'live'}]);
		list.set([{address: '127.0.0.1:1', state: 'leaving'}]);
		expect(await read()).toBe('live');
		await waitFor('the change', async () => {
			const state = await read();
			return state === 'leaving';
		});
		await list.stop();
	});
});
