import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {request} from 'undici';
import {FakeService} from './fake-service.ts';

describe('FakeService', () => {
	let service: FakeService;

	beforeEach(async () => {
		service = await new FakeService().start();
	});

	afterEach(async () => {
		await service.stop();
	});

	const charge = async (key: string) =>
		request(`${service.url}/charge-fee`, {
			method: 'POST',
			headers: {'idempotency-key': key},
			body: JSON.stringify({amount: 5}),
		});

	it('counts each execution of a repeated key', async () => {
		await charge('k1');
		await charge('k1');
		expect(service.countExecutionsByKey()).toEqual({k1: 2});
	});

	it('executes the operation before it drops the response', async () => {
		service.injectFault('charge-fee', {kind: 'lose-answer'});
		await expect(charge('k1')).rejects.toThrow();
		expect(service.countExecutionsByKey()).toEqual({k1: 1});
	});

	it('does not execute a call that hangs', async () => {
		service.injectFault('charge-fee', {kind: 'hang'});
		await expect(
			request(`${service.url}/charge-fee`, {
				method: 'POST',
				headersTimeout: 100,
			}),
		).rejects.toThrow();
		expect(service.executions).toEqual([]);
	});
});
