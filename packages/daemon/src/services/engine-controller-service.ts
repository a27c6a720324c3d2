import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {ConfigurationResult} from '@marjoramcove/configuration';
import {
	type ControllerAction,
	type ControllerEvent,
	type ControllerState,
	createControllerState,
	type EngineState,
	stepController,
} from '@marjoramcove/engine-control';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {UpstreamId} from '@marjoramcove/types';
import PQueue from 'p-queue';
import {readJson} from '@marjoramcove/upstream-http';
import {Agent, request} from 'undici';
import type {DaemonContext} from '../daemon-context.ts';
import type {ConfigurationService} from './configuration-service.ts';
import {configGroup, type ReplicationService} from './replication-service.ts';
import type {UpstreamsService} from './upstreams-service.ts';

const tickMs = 500;
const requestTimeoutMs = 2000;
const weightLoadTimeoutMs = 600_000;

/** Maximum size of the state that an engine reports. */
const maxStateBytes = 4 * 1024 * 1024;

type OrderOutcome = Extract<
	ControllerEvent,
	{type: 'order-answered'}
>['outcome'];

/** Reconciles engines with their desired state while this daemon leads the configuration group. */
export class EngineControllerService extends Service {
	readonly #context: DaemonContext;
	readonly #agent = new Agent({connections: 2});
	readonly #weightLoads: PQueue;
	#replication!: ReplicationService;
	#configuration!: ConfigurationService;
	#upstreams!: UpstreamsService;
	#state: ControllerState;
	#timer: NodeJS.Timeout | undefined;
	/** Term for which a fencing number was last granted to this daemon. */
	#grantedTerm = -1;
	#isTicking = false;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
		const {timing, weightStore} = context.settings;
		this.#state = createControllerState({
			leaderLeaseMs: timing.electionTimeoutMaxMs,
			orderLifetimeMs: timing.orderLifetimeMs,
			...(weightStore && {
				loadsPerInterval: weightStore.loadsPerInterval,
				loadIntervalMs: weightStore.intervalMs,
			}),
		});
		this.#weightLoads = new PQueue(
			weightStore
				? {
						intervalCap: weightStore.loadsPerInterval,
						interval: weightStore.intervalMs,
					}
				: {concurrency: 2},
		);
	}

	override get name() {
		return 'engine-controller';
	}

	override async start(kernel: ServiceDirectory) {
		this.#replication = kernel.get<ReplicationService>('replication');
		this.#configuration = kernel.get<ConfigurationService>('configuration');
		this.#upstreams = kernel.get<UpstreamsService>('upstreams');
		if (this.#replication.hasDisk) {
			this.#timer = setInterval(() => {
				void this.#tick();
			}, tickMs);
		}
	}

	override async stop() {
		clearInterval(this.#timer);
		this.#weightLoads.clear();
		await this.#agent.destroy();
	}

	async #tick(): Promise<void> {
		if (this.#isTicking) {
			return;
		}

		this.#isTicking = true;
		try {
			await this.#reconcile();
		} catch (error) {
			this.#context.logger.debug({
				event: 'engine-control-interrupted',
				reason: reasonOf(error),
			});
		} finally {
			this.#isTicking = false;
		}
	}

	async #reconcile(): Promise<void> {
		const {isLeader, term} = this.#replication.leadership(configGroup);
		if (!isLeader) {
			if (this.#state.isLeader) {
				this.#step({type: 'leadership-lost'});
			}

			return;
		}

		if (this.#grantedTerm !== term) {
			await this.#replication.ensureLeader(configGroup);
			const result = await this.#replication.propose<ConfigurationResult>(
				configGroup,
				{
					type: 'grant-fencing',
					daemonId: this.#context.settings.daemonId,
					term,
				},
			);
			if (result.outcome !== 'fencing-granted') {
				return;
			}

			this.#grantedTerm = term;
			const {fencingNumber} = result;
			this.#step({type: 'leadership-started', fencingNumber});
		}

		const roundBeganAtMs = performance.now();
		await this.#replication.readBarrier(configGroup);
		this.#step({type: 'leadership-confirmed', roundBeganAtMs});
		this.#step({type: 'engines', engines: this.#controlledEngines()});
		this.#step({type: 'tick'});
	}

	#controlledEngines() {
		return this.#configuration.view.upstreams.flatMap(({name, spec}) =>
			spec.type === 'engine' && spec.desired
				? [
						{
							upstreamId: name,
							checksFencing: spec.checksFencing,
							desired: spec.desired,
						},
					]
				: [],
		);
	}

	#step(event: ControllerEvent): void {
		const {state, actions} = stepController(
			this.#state,
			event,
			performance.now(),
		);
		this.#state = state;
		for (const action of actions) {
			void this.#execute(action);
		}
	}

	async #execute(action: ControllerAction): Promise<void> {
		switch (action.type) {
			case 'read-state': {
				await this.#readState(action.upstreamId, action.readId);
				break;
			}

			case 'send-order': {
				const {upstreamId, order, desired} = action;
				const outcome = await this.#sendOrder(upstreamId, {
					...order,
					type: 'set-state',
					desired,
				});
				this.#recordAnswer(upstreamId, order.orderId, outcome);
				break;
			}

			case 'load-weights': {
				const {upstreamId, order, weights} = action;
				const outcome = await this.#weightLoads.add(async () =>
					this.#loadWeights(upstreamId, {
						...order,
						type: 'load-weights',
						weights,
					}),
				);
				this.#recordAnswer(upstreamId, order.orderId, outcome ?? 'failed');
				break;
			}

			case 'fenced-off': {
				this.#context.logger.warn({
					event: 'fenced-off',
					upstream: action.upstreamId,
					fencingNumber: action.fencingNumber,
				});
				break;
			}

			case 'wait': {
				break;
			}
		}
	}

	#recordAnswer(
		upstreamId: UpstreamId,
		orderId: string,
		outcome: OrderOutcome,
	): void {
		this.#context.logger.info({
			event: 'engine-order-answered',
			upstream: upstreamId,
			orderId,
			outcome,
		});
		this.#step({type: 'order-answered', upstreamId, orderId, outcome});
	}

	async #readState(upstreamId: UpstreamId, readId: number): Promise<void> {
		try {
			const {statusCode, body} = await request(
				`${this.#addressOf(upstreamId)}/v1/state`,
				this.#timeouts(requestTimeoutMs),
			);
			const report = (await readJson(body, maxStateBytes)) as EngineState;
			if (statusCode !== 200) {
				throw new Error(`status ${statusCode}`);
			}

			this.#step({type: 'state-read', upstreamId, readId, report});
		} catch (error) {
			this.#context.logger.debug({
				event: 'engine-state-not-read',
				upstream: upstreamId,
				error: messageOf(error),
			});
			this.#step({type: 'read-failed', upstreamId, readId});
		}
	}

	async #loadWeights(
		upstreamId: UpstreamId,
		order: Record<string, unknown> & {weights: string},
	): Promise<OrderOutcome> {
		const {weightStore} = this.#context.settings;
		if (weightStore) {
			try {
				const {statusCode, body} = await request(
					`${weightStore.url}/weights/${encodeURIComponent(order.weights)}`,
					this.#timeouts(weightLoadTimeoutMs),
				);
				await body.dump();
				if (statusCode !== 200) {
					return statusCode === 429 ? 'rate-limited' : 'failed';
				}
			} catch {
				return 'failed';
			}
		}

		// Leadership may have changed during the download. The order carries the fencing number of the
		// leadership that started it, and the state machine ignores outcomes of an earlier leadership.
		return this.#state.isLeader &&
			order.fencingNumber === this.#state.fencingNumber
			? this.#sendOrder(upstreamId, order)
			: 'failed';
	}

	async #sendOrder(
		upstreamId: UpstreamId,
		order: Record<string, unknown>,
	): Promise<OrderOutcome> {
		try {
			const {statusCode, body} = await request(
				`${this.#addressOf(upstreamId)}/v1/orders`,
				{
					...this.#timeouts(requestTimeoutMs),
					method: 'POST',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(order),
				},
			);
			await body.dump();
			if (statusCode === 409) {
				return 'fenced';
			}

			return statusCode === 200 ? 'done' : 'failed';
		} catch {
			return 'failed';
		}
	}

	#addressOf(upstreamId: UpstreamId): string {
		return this.#upstreams.lookUp(upstreamId)?.spec.address ?? '';
	}

	#timeouts(timeoutMs: number) {
		return {
			dispatcher: this.#agent,
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.timeout(timeoutMs),
		};
	}
}
