import {messageOf, reasonOf} from '@marjoramcove/errors';
import {planShardMap} from '@marjoramcove/control-state';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {GatewayContext} from '../gateway-context.ts';
import type {ControlService} from './control-service.ts';

const PLAN_INTERVAL_MS = 200;

/** Time without a new disk before the first placement, so that it can use all disks. */
const SETTLE_MS = 1000;

/** Places the shards of programs on disks while this daemon leads the configuration group. */
export class ShardPlannerService extends Service {
	readonly #context: GatewayContext;
	#control!: ControlService;
	#timer: NodeJS.Timeout | undefined;
	#seen = {count: 0, sinceMs: 0};
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
		const {machine, leaderTerm} = this.#control;
		const {version} = machine.state.shardMap;
		if (leaderTerm === undefined || version > 0 || this.#isPlanning) {
			return;
		}

		const disks = this.#context.view
			.membersOf('state')
			.flatMap(({daemonId, diskId, zone}) =>
				diskId === undefined ? [] : [{daemonId, diskId, zone}],
			);
		const nowMs = performance.now();
		if (disks.length !== this.#seen.count) {
			this.#seen = {count: disks.length, sinceMs: nowMs};
		}

		const {factor, shardCount} = this.#context.settings.replication;
		const shards = planShardMap({disks, shardCount, replicationFactor: factor});
		if (!shards || nowMs - this.#seen.sinceMs < SETTLE_MS) {
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
