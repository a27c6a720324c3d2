import {
	isLabelledLeaving,
	type UpstreamResource,
} from '@marjoramcove/configuration';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	chooseDispatcher,
	createMembershipState,
	type MembershipEvent,
	stepMembership,
	upstreamLeaving,
} from '@marjoramcove/membership';
import type {DaemonId, UpstreamId} from '@marjoramcove/types';
import {Agent, request} from 'undici';
import {type DaemonContext, messageOf} from '../daemon-context.ts';
import type {ConfigurationService} from './configuration-service.ts';

/** Last reports of an upstream. */
type UpstreamHealth = {
	failures: number;
	running: number;
	waiting: number;
	kvTokens: number;
	kvCapacityTokens: number;
};

const failuresUntilUnhealthy = 2;

type LoadReport = Partial<
	Record<'running' | 'waiting' | 'kvTokens' | 'kvCapacityTokens', number>
>;

/** Health, load and leaving state of the upstreams, from the VM list, their answers and labels. */
export class UpstreamsService extends Service {
	readonly #context: DaemonContext;
	readonly #agent = new Agent({connections: 2, keepAliveTimeout: 30_000});
	readonly #health = new Map<UpstreamId, UpstreamHealth>();
	readonly #busy = new Set<UpstreamId>();
	#configuration!: ConfigurationService;
	#timers: NodeJS.Timeout[] = [];
	#state = createMembershipState({
		epoch: 'upstreams',
		nowMs: performance.now(),
	});

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'upstreams';
	}

	override async start(kernel: ServiceDirectory) {
		this.#configuration = kernel.get<ConfigurationService>('configuration');
		this.#configuration.onChange(() => {
			this.#registerUpstreams();
		});
		const {timing, vmList} = this.#context.settings;
		this.#timers = [
			setInterval(() => {
				this.#checkAll();
			}, timing.healthCheckMs),
		];
		if (vmList) {
			this.#timers.push(
				setInterval(() => {
					void this.#readVmList(vmList.url);
				}, timing.vmListPollMs),
			);
		}
	}

	override async stop() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#agent.destroy();
	}

	/** Registered upstream; undefined when it is unknown. */
	lookUp(upstreamId: UpstreamId): UpstreamResource | undefined {
		return this.#configuration.view.upstreams.find(
			({name}) => name === upstreamId,
		);
	}

	isLeaving(upstreamId: UpstreamId): boolean {
		return upstreamLeaving(this.#state, upstreamId, performance.now());
	}

	isHealthy(upstreamId: UpstreamId): boolean {
		return (
			(this.#health.get(upstreamId)?.failures ?? 0) < failuresUntilUnhealthy
		);
	}

	/** Marks an upstream as failing after a call found it unreachable. */
	noteUnreachable(upstreamId: UpstreamId): void {
		this.#healthOf(upstreamId).failures = failuresUntilUnhealthy;
	}

	load(upstreamId: UpstreamId): UpstreamHealth {
		return this.#healthOf(upstreamId);
	}

	/** Daemon that dispatches for an upstream, by rendezvous hashing over the live daemons. */
	dispatcherOf(upstreamId: UpstreamId): DaemonId | undefined {
		return chooseDispatcher(upstreamId, this.#configuration.readyDaemons);
	}

	#healthOf(upstreamId: UpstreamId): UpstreamHealth {
		let health = this.#health.get(upstreamId);
		if (!health) {
			health = {
				failures: 0,
				running: 0,
				waiting: 0,
				kvTokens: 0,
				kvCapacityTokens: 0,
			};
			this.#health.set(upstreamId, health);
		}

		return health;
	}

	#registerUpstreams(): void {
		const {upstreams} = this.#configuration.view;
		this.#step({
			type: 'upstreams',
			upstreams: upstreams.map((upstream) => ({
				upstreamId: upstream.name,
				address: upstream.spec.address,
				leaving: isLabelledLeaving(upstream),
			})),
		});
		const known = new Set(upstreams.map(({name}) => name));
		for (const upstreamId of this.#health.keys()) {
			if (!known.has(upstreamId)) {
				this.#health.delete(upstreamId);
			}
		}
	}

	/** Owners check all upstreams, other daemons those that they dispatch for. */
	#checkAll(): void {
		const {roles, daemonId} = this.#context.settings;
		const isOwner = roles.includes('state');
		for (const upstream of this.#configuration.view.upstreams) {
			const {name} = upstream;
			if (
				!this.#busy.has(name) &&
				(isOwner || this.dispatcherOf(name) === daemonId)
			) {
				void this.#check(upstream);
			}
		}
	}

	async #check({name, spec}: UpstreamResource): Promise<void> {
		this.#busy.add(name);
		const health = this.#healthOf(name);
		try {
			const {status} = await this.#read<{status?: string}>(
				`${spec.address}/healthz`,
			);
			health.failures = 0;
			this.#step({
				type: 'health',
				upstreamId: name,
				status: status === 'leaving' ? 'leaving' : 'ready',
			});
			if (spec.type === 'engine') {
				const load = await this.#read<LoadReport>(`${spec.address}/v1/load`);
				Object.assign(health, {
					running: load.running ?? 0,
					waiting: load.waiting ?? 0,
					kvTokens: load.kvTokens ?? 0,
					kvCapacityTokens: load.kvCapacityTokens ?? 0,
				});
			}
		} catch (error) {
			health.failures++;
			if (health.failures === failuresUntilUnhealthy) {
				this.#context.logger.warn({
					event: 'upstream-unhealthy',
					upstream: name,
					error: messageOf(error),
				});
			}
		} finally {
			this.#busy.delete(name);
		}
	}

	async #read<Body>(url: string): Promise<Body> {
		const timeoutMs = 2 * this.#context.settings.timing.healthCheckMs;
		const {body, statusCode} = await request(url, {
			dispatcher: this.#agent,
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const parsed = (await body.json()) as Body;
		if (statusCode !== 200) {
			throw new Error(`status ${statusCode}`);
		}

		return parsed;
	}

	async #readVmList(url: string): Promise<void> {
		const readAtMs = performance.now();
		try {
			const {vms} = await this.#read<{
				vms: Array<{address: string; state: 'live' | 'leaving'}>;
			}>(url);
			this.#step({type: 'vm-list', readAtMs, vms});
		} catch (error) {
			this.#context.retries.increment({
				step: 'vm-list',
				reason: 'vm-list-unreadable',
			});
			this.#context.logger.debug({
				event: 'vm-list-unreadable',
				error: messageOf(error),
			});
		}
	}

	#step(event: MembershipEvent): void {
		const {state, actions} = stepMembership(
			this.#state,
			event,
			performance.now(),
		);
		this.#state = state;
		for (const action of actions) {
			if (
				action.type === 'upstream-leaving' ||
				action.type === 'upstream-back'
			) {
				this.#context.logger.info({
					event: action.type,
					upstream: action.upstreamId,
				});
			}
		}
	}
}
