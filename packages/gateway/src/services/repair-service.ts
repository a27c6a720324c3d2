import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {GroupStatus, ReplicaHost} from '@marjoramcove/consensus';
import {Service} from '@marjoramcove/kernel';
import {type LiveDisk, planReplicas} from '@marjoramcove/replica-planner';
import type {GroupId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';

/** Interval at which the groups led by this daemon are checked. */
const CHECK_INTERVAL_MS = 200;

/** A service that runs replicas. */
export type ReplicaOwner = {readonly host: ReplicaHost | undefined};

/**
 * Automatically maintains the replicas of the groups led by this daemon: replaces lost disks, moves
 * replicas off retiring disks and adds missing replicas.
 */
export class RepairService extends Service {
	readonly #context: GatewayContext;
	readonly #owner: ReplicaOwner;
	readonly #busyGroups = new Set<GroupId>();
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext, owner: ReplicaOwner) {
		super();
		this.#context = context;
		this.#owner = owner;
	}

	override get name() {
		return 'repair';
	}

	override async start() {
		this.#timer = setInterval(() => {
			for (const status of this.#owner.host?.status() ?? []) {
				if (status.role === 'leader' && !this.#busyGroups.has(status.groupId)) {
					void this.#check(status);
				}
			}
		}, CHECK_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	async #check({groupId, replicas, repair}: GroupStatus): Promise<void> {
		const {view, settings, logger} = this.#context;
		const plan = planReplicas({
			replicas,
			disks: this.#listDisks(),
			retiringDisks: new Set(view.topics.shardMap?.retiringDisks),
			factor: settings.replication.factor,
		});
		// While the replaced voter is being removed, the plan would include it again.
		if (!plan || repair?.phase === 'removing') {
			return;
		}

		this.#busyGroups.add(groupId);
		const details = {
			group: groupId,
			reason: plan.reason,
			change: JSON.stringify(plan.change),
		};
		try {
			await this.#owner.host!.changeReplicas(groupId, plan.change);
			logger.info({event: 'replicas-changed', ...details});
		} catch (error) {
			logger.warn({
				event: 'replicas-not-changed',
				...details,
				refusal: reasonOf(error),
				error: messageOf(error),
			});
		} finally {
			this.#busyGroups.delete(groupId);
		}
	}

	#listDisks(): LiveDisk[] {
		const {view, settings} = this.#context;
		return view
			.membersWithRole(settings.role)
			.flatMap(({daemonId, diskId, zone, phase}) =>
				diskId === undefined
					? []
					: [{daemonId, diskId, zone, isStopping: phase === 'draining'}],
			);
	}
}
