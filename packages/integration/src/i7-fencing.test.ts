import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	createEngineResource,
	errorOf,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {findLeader, findOtherDaemon} from './helpers/find-roles.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

const VERSIONS = ['2', '3', '4', '5'];

describe('I7 fencing', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineCount: 2,
			proxied: true,
			perEngine: [
				{
					checksFencing: true,
					executesOldOrders: isFaultInjected('unchecked-fencing'),
				},
				{checksFencing: false},
			],
		});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		bed.cluster.heal();
		for (const daemon of bed.cluster.daemons) {
			daemon.signal('SIGCONT');
		}

		await bed.cluster.waitUntilReady();
	});

	afterAll(async () => {
		await bed.stop();
	});

	const requestVersion = async (version: string, daemonId: string) => {
		await waitFor('the change to be accepted', async () => {
			const answer = await bed.sendChange(
				bed.engines.map((engine, index) => {
					const resource = createEngineResource(`engine-${index + 1}`, engine);
					return {
						type: 'apply',
						resource: {
							...resource,
							spec: {
								...resource.spec,
								desired: {
									models: ['agent-large'],
									adapters: [],
									version,
									role: 'mixed',
								},
							},
						},
					};
				}),
				{daemonId},
			);
			if (answer.status === 200) {
				return true;
			}

			throw new Error(JSON.stringify(errorOf(answer)));
		});
	};

	const expectVersion = async (version: string) => {
		await waitFor(
			`version ${version} on all engines`,
			() =>
				bed.engines.every((engine) => engine.orders.state.version === version),
			{timeoutMs: 30_000},
		);
	};

	/** Fails when the engine that checks fencing numbers executed an older number after a newer one. */
	const expectOrdersFenced = () => {
		const numbers = bed.engines[0]!.orders.executed.map(
			(order) => order.fencingNumber,
		);
		expect(numbers).toEqual(numbers.toSorted((a, b) => a - b));
	};

	/** Sends an order of the previous leader, as if it had been delayed in the network. */
	const sendDelayedOrder = async () => {
		const engine = bed.engines[0]!;
		const response = await fetch(`${engine.url}/v1/orders`, {
			method: 'POST',
			body: JSON.stringify({
				fencingNumber: engine.orders.fencingNumber - 1,
				orderId: 'late',
				type: 'set-version',
				version: '0',
			}),
		});
		await response.text();
	};

	it.each([
		['both', 0],
		['outgoing', 1],
		['incoming', 2],
	] as const)('replaces a partitioned leader: %s', async (direction, index) => {
		// Guards against a previous leader whose orders overwrite those of the new leader.
		const version = VERSIONS[index]!;
		const leader = await findLeader(bed.caller('d5'), 'config');
		bed.cluster.isolate(leader, direction);
		const observer = findOtherDaemon(bed, leader);
		await findLeader(bed.caller(observer), 'config', leader);
		await requestVersion(version, observer);
		await expectVersion(version);
		bed.cluster.heal();
		await bed.cluster.waitUntilReady();
		await expectVersion(version);
		expectOrdersFenced();
	});

	it('replaces a suspended leader and ignores its orders when it resumes', async () => {
		// Guards against a leader that acts on outdated state after it was suspended.
		const version = VERSIONS[3]!;
		const leader = await findLeader(bed.caller('d5'), 'config');
		bed.cluster.daemon(leader).signal('SIGSTOP');
		const observer = findOtherDaemon(bed, leader);
		await findLeader(bed.caller(observer), 'config', leader);
		await requestVersion(version, observer);
		await expectVersion(version);
		bed.cluster.daemon(leader).signal('SIGCONT');
		await bed.cluster.waitUntilReady();
		await waitFor('the previous leader to recognise the new one', async () => {
			const knownLeader = await findLeader(bed.caller(leader), 'config');
			return knownLeader !== leader;
		});
		await sendDelayedOrder();
		await expectVersion(version);
		expectOrdersFenced();
	});

	it('refuses an order with an outdated fencing number', async () => {
		// Guards against a fake engine that does not check fencing numbers, which would make these tests pass.
		const engine = bed.engines[0]!;
		const {fencingNumber} = engine.orders;
		expect(fencingNumber).toBeGreaterThan(0);
		const answer = engine.orders.execute({
			fencingNumber: fencingNumber - 1,
			orderId: 'old',
			type: 'set-version',
			version: '0',
		});
		expect(answer.status).toBe(409);
	});
});
