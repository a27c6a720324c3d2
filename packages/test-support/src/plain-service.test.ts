import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {request} from 'undici';
import {PlainService} from './plain-service.ts';

describe('PlainService', () => {
	let service: PlainService;

	beforeEach(async () => {
		service = await new PlainService().start();
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

	it('counts a repeated key twice', async () => {
		await charge('k1');
		await charge('k1');
		expect(service.executionsByKey()).toEqual({k1: 2});
	});

	it('executes before it loses the answer', async () => {
		service.injectFault('charge-fee', {kind: 'lose-answer'});
		await expect(charge('k1')).rejects.toThrow();
		expect(service.executionsByKey()).toEqual({k1: 1});
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
