import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {ShardMap} from '@marjoramcove/control-state';
import {CommandClock, type ReplicaHost} from '@marjoramcove/consensus';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {NodeFileSystem} from '@marjoramcove/storage';
import {
	cutPage,
	encodeTurnCommand,
	findChain,
	sumLengths,
	type TurnCommand,
	type TurnResult,
	TurnsMachine,
} from '@marjoramcove/turns';
import {
	asId,
	type DaemonId,
	type GroupId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import {
	chainInput,
	type ChainInput,
	type ChainOutput,
	replicationBatchInput,
	type ReserveInput,
	reserveInput,
	type SettleInput,
	settleInput,
} from '../peer-messages.ts';
import {ShardMapFile} from '../shard-map-file.ts';
import type {FleetService} from './fleet-service.ts';
import {openReplicaHost} from './open-replica-host.ts';
import type {PeersService} from './peers-service.ts';

/** Interval at which the leader of a shard deletes expired entries. */
const EXPIRY_INTERVAL_MS = 5000;

/** Interval at which changes in the replicas of led groups are reported. */
const REPORT_INTERVAL_MS = 200;

type Shard = {stateMachine: TurnsMachine; clock: CommandClock};

/** Runs the local replicas of the program shards; serves reservations, settlements and chain reads. */
export class StoreService extends Service {
	readonly #context: GatewayContext;
	readonly #shards = new Map<GroupId, Shard>();
	#host!: ReplicaHost;
	#fleet!: FleetService;
	#timers: NodeJS.Timeout[] = [];
	#isSavingMap = false;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'store';
	}

	get host(): ReplicaHost | undefined {
		return this.#host;
	}

	override async start(kernel: ServiceDirectory) {
		const {network} = kernel.get<PeersService>('peers');
		this.#fleet = kernel.get<FleetService>('fleet');
		this.#host = await openReplicaHost(this.#context, network);
		this.#fleet.reportFields.diskId = this.#host.diskId;
		network.handlePost(
			'replication.deliver',
			replicationBatchInput,
			({from, batch}) => {
				this.#host.receive(asId<DaemonId>(from), batch);
			},
		);
		network.handle('turns.reserve', reserveInput, async (input) =>
			this.#reserve(input),
		);
		network.handle('turns.settle', settleInput, async (input) =>
			this.#settle(input),
		);
		network.handle('turns.chain', chainInput, async (input) =>
			input.groupId === undefined
				? this.#readLocalChain(input)
				: this.#readChainAsLeader(asId<GroupId>(input.groupId), input),
		);
		this.#host.onLeadershipChange((groupId) => {
			this.#handleLeadershipChange(groupId);
		});
		const file = new ShardMapFile(
			new NodeFileSystem(),
			this.#context.settings.dataFolder!,
		);
		await this.#loadShardMap(file);
		this.#context.view.onChange((topic) => {
			if (topic === 'shardMap') {
				void this.#openShards();
				void this.#saveShardMap(file);
			}
		});
		await this.#openShards();
		this.#timers = [
			setInterval(() => {
				void this.#expire();
			}, EXPIRY_INTERVAL_MS),
			setInterval(() => {
				this.#reportLedGroups();
			}, REPORT_INTERVAL_MS),
		];
	}

	override async drain() {
		await this.#host.drain();
	}

	override async stop() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await this.#host.stop();
	}

	async #loadShardMap(file: ShardMapFile): Promise<void> {
		try {
			this.#context.view.merge({shardMap: await file.load()});
		} catch (error) {
			// The copy only speeds up the start; the control daemons store the original.
			this.#context.logger.warn({
				event: 'shard-map-unreadable',
				error: messageOf(error),
			});
		}
	}

	/** Saves the latest map. Only one save runs at a time, because all use the same temporary file. */
	async #saveShardMap(file: ShardMapFile): Promise<void> {
		if (this.#isSavingMap) {
			return;
		}

		this.#isSavingMap = true;
		const {view, logger} = this.#context;
		try {
			let saved: ShardMap | undefined;
			while (saved !== view.topics.shardMap) {
				saved = view.topics.shardMap!;
				await file.save(saved);
			}
		} catch (error) {
			logger.warn({event: 'shard-map-not-saved', error: messageOf(error)});
		} finally {
			this.#isSavingMap = false;
		}
	}

	async #openShards(): Promise<void> {
		const {view, logger} = this.#context;
		for (const {groupId, voters} of view.topics.shardMap?.shards ?? []) {
			// Disks without a replica open the group as well, so that they can be added at any time.
			if (this.#shards.has(groupId)) {
				continue;
			}

			const clock = new CommandClock();
			const stateMachine = new TurnsMachine((clockMs) => {
				clock.advanceTo(clockMs);
			});
			this.#shards.set(groupId, {stateMachine, clock});
			try {
				await this.#host.addGroup(groupId, stateMachine, voters);
				logger.info({event: 'shard-opened', group: groupId});
			} catch (error) {
				this.#context.fail(error);
			}
		}

		this.#context.phase =
			this.#context.phase === 'starting' ? 'ready' : this.#context.phase;
	}

	async #reserve(input: ReserveInput): Promise<TurnResult> {
		return this.#propose(asId<GroupId>(input.groupId), (nowMs) => ({
			type: 'reserve',
			nowMs,
			programId: asId<ProgramId>(input.programId),
			requestId: asId<RequestId>(input.requestId),
			budgetTokens: input.budgetTokens,
			maxTokens: input.maxTokens,
			retentionMs: input.retentionMs,
		}));
	}

	async #settle(input: SettleInput): Promise<TurnResult> {
		const {turn} = input;
		return this.#propose(asId<GroupId>(input.groupId), (nowMs) => ({
			type: 'settle',
			nowMs,
			programId: asId<ProgramId>(input.programId),
			requestId: asId<RequestId>(input.requestId),
			usedTokens: input.usedTokens,
			retentionMs: input.retentionMs,
			last: input.last && {
				...input.last,
				serverId: asId<UpstreamId>(input.last.serverId),
			},
			turn: turn && {
				text: turn.text,
				retentionMs: turn.retentionMs,
				previousId:
					turn.previousId === undefined
						? undefined
						: asId<RequestId>(turn.previousId),
			},
		}));
	}

	async #propose(
		groupId: GroupId,
		createCommand: (nowMs: number) => TurnCommand,
	): Promise<TurnResult> {
		const startedAtMs = performance.now();
		const nowMs = this.#shards.get(groupId)?.clock.nowMs() ?? 0;
		const command = createCommand(nowMs);
		const {result} = await this.#host.propose(
			groupId,
			encodeTurnCommand(command),
		);
		this.#context.stages.record(performance.now() - startedAtMs, {
			stage: `commit-${command.type}`,
		});
		return result as TurnResult;
	}

	/** Finished turns are immutable, so a chain read from any replica is correct regardless of its lag. */
	async #readLocalChain({turnId, page}: ChainInput): Promise<ChainOutput> {
		for (const [groupId, {stateMachine}] of this.#shards) {
			const ranges = findChain(stateMachine.state, asId<RequestId>(turnId));
			if (ranges) {
				const parts = await Promise.all(
					(page ? cutPage(ranges, page) : ranges).map(
						async ({offset, lengthBytes}) =>
							this.#host.readHistory(groupId, offset, lengthBytes),
					),
				);
				return {
					status: 'found',
					text: Buffer.concat(parts),
					lengthBytes: sumLengths(ranges),
					groupId,
				};
			}
		}

		return {status: 'not-here'};
	}

	async #readChainAsLeader(
		groupId: GroupId,
		input: ChainInput,
	): Promise<ChainOutput> {
		const localOutput = await this.#readLocalChain(input);
		if (localOutput.status === 'found') {
			return localOutput;
		}

		// Only a negative result requires an up-to-date leader with all entries applied.
		await this.#host.readBarrier(groupId);
		const output = await this.#readLocalChain(input);
		return output.status === 'found' ? output : {status: 'not-in-group'};
	}

	#handleLeadershipChange(changedId: GroupId): void {
		const {isLeader, leaderId, term} = this.#host.leadership(changedId);
		this.#context.logger.info({
			event: 'leadership-changed',
			group: changedId,
			leader: leaderId,
			term,
			isLeader,
		});
		this.#reportLedGroups();
	}

	/** Reports the groups that this daemon leads and the disks of their voters. */
	#reportLedGroups(): void {
		const ledGroups = this.#host
			.status()
			.filter(({role}) => role === 'leader')
			.map(({groupId, term, replicas}) => ({
				groupId,
				term,
				voters: replicas
					.filter(({role}) => role === 'voter')
					.map(({diskId}) => diskId),
			}));
		const {reportFields} = this.#fleet;
		if (JSON.stringify(ledGroups) !== JSON.stringify(reportFields.ledGroups)) {
			reportFields.ledGroups = ledGroups;
			void this.#fleet.reportNow();
		}
	}

	async #expire(): Promise<void> {
		for (const groupId of this.#shards.keys()) {
			if (!this.#host.leadership(groupId).isLeader) {
				continue;
			}

			try {
				await this.#propose(groupId, (nowMs) => ({type: 'expire', nowMs}));
			} catch (error) {
				// Retried at the next interval or by the next leader.
				this.#context.logger.warn({
					event: 'expiry-failed',
					group: groupId,
					reason: reasonOf(error),
					error: messageOf(error),
				});
			}
		}
	}
}
