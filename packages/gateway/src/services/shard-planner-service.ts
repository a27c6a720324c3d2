import {messageOf, reasonOf} from '@marjoramcove/errors';
import {planShardMap} from '@marjoramcove/control-state';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {GatewayContext} from '../gateway-context.ts';
import type {ControlService} from './control-service.ts';

const PLAN_INTERVAL_MS = 200;

/** Time without a new disk before the initial placement, so that the placement can use all disks. */
const DISK_DISCOVERY_MS = 1000;

/** Computes the initial placement of the program shards while this daemon leads the configuration group. */
export class ShardPlannerService extends Service {
	readonly #context: GatewayContext;
	#control!: ControlService;
	#timer: NodeJS.Timeout | undefined;
	#diskDiscovery = {count: 0, sinceMs: 0};
	#isPlanning = false;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'shard-planner';
	}

	override async start(kernel: ServiceDirectory) {
		this.#control = kernel.get<ControlService>('control');
		this.#timer = setInterval(() => {
			void this.#plan();
		}, PLAN_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	async #plan(): Promise<void> {
		const {stateMachine, leaderTerm} = this.#control;
		const {version} = stateMachine.state.shardMap;
		if (version > 0) {
			// The shards are placed once; later changes are up to the leaders of the shards.
			clearInterval(this.#timer);
			return;
		}

		if (leaderTerm === undefined || this.#isPlanning) {
			return;
		}

		const disks = this.#context.view
			.membersWithRole('state')
			.flatMap(({daemonId, diskId, zone}) =>
				diskId === undefined ? [] : [{daemonId, diskId, zone}],
			);
		const nowMs = performance.now();
		if (disks.length !== this.#diskDiscovery.count) {
			this.#diskDiscovery = {count: disks.length, sinceMs: nowMs};
		}

		const {factor, minShardCount} = this.#context.settings.replication;
		const shards = planShardMap({
			disks,
			minShardCount,
			replicationFactor: factor,
		});
		if (!shards || nowMs - this.#diskDiscovery.sinceMs < DISK_DISCOVERY_MS) {
			return;
		}

		this.#isPlanning = true;
		try {
			const result = await this.#control.setShards({
				type: 'set-shards',
				baseVersion: version,
				shards,
			});
			this.#context.logger.info({
				event: 'shards-placed',
				outcome: result.status,
				shards: shards.length,
				disks: disks.length,
				copies: factor,
			});
		} catch (error) {
			this.#context.logger.warn({
				event: 'shards-not-placed',
				reason: reasonOf(error),
				error: messageOf(error),
			});
		} finally {
			this.#isPlanning = false;
		}
	}
}
