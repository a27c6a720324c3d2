import {randomUUID} from 'node:crypto';
import {Cluster, type ClusterOptions} from '../cluster/cluster.ts';
import type {EngineOptions} from '../engine/engine-options.ts';
import {FakeEngine} from '../engine/fake-engine.ts';
import {FakeService} from '../fake-service.ts';
import {waitFor} from '../wait-for.ts';
import {type Answer, Caller, errorOf} from './caller.ts';
import {
	createEngineResource,
	createSelectorResource,
	createServiceResource,
	type ResourceObject,
} from './create-resources.ts';

export type TestBedOptions = ClusterOptions & {
	engineCount?: number;
	engineOptions?: Partial<EngineOptions>;
	/** Maximum time until the resources are in force; at least one configuration lease. */
	startTimeoutMs?: number;
	/** Additional options of single engines, by index. */
	perEngine?: Array<Partial<EngineOptions>>;
};

export type ResourceList = {revision: number; resources: ResourceObject[]};

// Shorter than the hook timeout of the test runner, so that a failed start can still stop its processes.
const START_TIMEOUT_MS = 15_000;

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/**
 * A cluster of real daemons with fake engines and the fake services `entry-desk` and `order-desk`. All
 * are registered in the fleet `main`, which programs with any labels may use.
 *
 * @example
 * ```ts
 * const bed = await TestBed.start({daemonCount: 5, engineCount: 2});
 * const caller = bed.caller('d4');
 * await bed.stop();
 * ```
 */
export class TestBed {
	/** Starts everything and waits until the resources are in force. */
	static async start(options: TestBedOptions = {}): Promise<TestBed> {
		const engines: FakeEngine[] = [];
		for (let index = 0; index < (options.engineCount ?? 2); index++) {
			engines.push(
				await new FakeEngine({
					salt: `engine-${index + 1}`,
					...options.engineOptions,
					...options.perEngine?.[index],
				}).start(),
			);
		}

		const entryDesk = await new FakeService().start();
		const orderDesk = await new FakeService().start();
		const stopFakes = async () => {
			await Promise.all(
				[...engines, entryDesk, orderDesk].map(async (server) => server.stop()),
			);
		};

		try {
			const cluster = await Cluster.start(options);
			const bed = new TestBed({cluster, engines, entryDesk, orderDesk});
			try {
				await bed.apply(
					bed.resources(),
					options.startTimeoutMs ?? START_TIMEOUT_MS,
				);
			} catch (error) {
				await bed.stop();
				throw error;
			}

			return bed;
		} catch (error) {
			await stopFakes();
			throw error;
		}
	}

	readonly cluster: Cluster;
	readonly engines: FakeEngine[];
	readonly entryDesk: FakeService;
	readonly orderDesk: FakeService;
	readonly #callers = new Map<string, Caller>();

	private constructor(
		parts: Pick<TestBed, 'cluster' | 'engines' | 'entryDesk' | 'orderDesk'>,
	) {
		this.cluster = parts.cluster;
		this.engines = parts.engines;
		this.entryDesk = parts.entryDesk;
		this.orderDesk = parts.orderDesk;
	}

	/** Returns the resources that register all fakes, and one selector for all programs. */
	resources(): ResourceObject[] {
		return [
			...this.engines.map((engine, index) =>
				createEngineResource(
					`engine-${index + 1}`,
					engine,
					ZONES[index % ZONES.length],
				),
			),
			createServiceResource('entry-desk-1', this.entryDesk, 'entry-desk'),
			createServiceResource(
				'order-desk-1',
				this.orderDesk,
				'order-desk',
				'zone-b',
			),
			createSelectorResource('all', {}),
		];
	}

	/** Returns the caller for a daemon, creating it on first use. */
	caller(daemonId: string): Caller {
		const caller =
			this.#callers.get(daemonId) ??
			new Caller(this.cluster.daemon(daemonId).httpAddress);
		this.#callers.set(daemonId, caller);
		return caller;
	}

	/** Reads the configuration from a daemon. */
	async readResources(daemonId?: string): Promise<ResourceList> {
		const answer = await this.caller(
			daemonId ?? this.#pickRunningDaemon(),
		).send<ResourceList>('GET', '/v1/operator/resources');
		if (answer.status !== 200) {
			throw new Error(`The resources were not read: ${JSON.stringify(answer)}`);
		}

		return answer.body;
	}

	/** Sends one configuration change and returns the response. */
	async sendChange(
		changes: unknown[],
		options: {
			baseRevision?: number;
			operationId?: string;
			daemonId?: string;
			timeoutMs?: number;
		} = {},
	): Promise<Answer> {
		const daemonId = options.daemonId ?? this.#pickRunningDaemon();
		const current = await this.readResources(daemonId);
		return this.caller(daemonId).send('POST', '/v1/operator/changes', {
			body: {
				operationId: options.operationId ?? randomUUID(),
				baseRevision: options.baseRevision ?? current.revision,
				changes,
			},
			timeoutMs: options.timeoutMs ?? 40_000,
		});
	}

	/** Applies resources, and retries until a daemon accepts the change. */
	async apply(
		resources: ResourceObject[],
		timeoutMs = 40_000,
	): Promise<Answer> {
		return waitFor(
			'the change to be accepted',
			async () => {
				const answer = await this.sendChange(
					resources.map((resource) => ({type: 'apply', resource})),
					{timeoutMs},
				);
				if (answer.status === 200) {
					return answer;
				}

				throw new Error(JSON.stringify(errorOf(answer) ?? answer));
			},
			{timeoutMs: Math.min(timeoutMs, 20_000)},
		);
	}

	/** Stops the callers, daemons and fakes. */
	async stop(): Promise<void> {
		await Promise.all(
			[...this.#callers.values()].map(async (caller) => caller.close()),
		);
		await this.cluster.stop();
		await Promise.all(
			[...this.engines, this.entryDesk, this.orderDesk].map(async (server) =>
				server.stop(),
			),
		);
	}

	#pickRunningDaemon(): string {
		const daemon = this.cluster.daemons.findLast(
			(candidate) => candidate.running,
		);
		if (!daemon) {
			throw new Error('No daemon is running.');
		}

		return daemon.daemonId;
	}
}
