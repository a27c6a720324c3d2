import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, RefusedError, reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {Counter} from '@marjoramcove/metrics';
import type {TurnResult} from '@marjoramcove/turns';
import type {
	DaemonId,
	GroupId,
	ProgramId,
	RequestId,
} from '@marjoramcove/types';
import type {ChainOutput, ReserveInput, SettleInput} from '../contracts.ts';
import {chooseShard} from '../choose-shard.ts';
import {chooseOtherReplica, findShardLeader} from '../find-shard-leader.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {PeersService} from './peers-service.ts';

/** Time for one call to a shard leader; a commit takes a few milliseconds, an election a second. */
const CALL_TIMEOUT_MS = 500;

const RETRY_MS = 30;

/** Time for a replica of the own zone to read a chain before the leaders are asked. */
const LOCAL_CHAIN_TIMEOUT_MS = 300;

/** Time for which the settlement of a turn is repeated when nobody waits for it. */
const BACKGROUND_SETTLE_MS = 20_000;

/** A call to the shards with the time by which the answer is of use. */
type Deadline = {deadlineMs: number};

/** What was said before a turn; `groupId` is the shard that has it. */
export type Chain = {text: Uint8Array; groupId: GroupId};

/** Reaches the shards of programs from an entry daemon. Every call may be repeated. */
export class TurnsService extends Service {
	readonly #context: GatewayContext;
	/** Leaders that other replicas named; newer than the view for a moment. */
	readonly #hints = new Map<GroupId, DaemonId>();
	readonly #chainReads: Counter;
	#peers!: PeersService;
	#isStopped = false;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.#chainReads = context.metrics.counter(
			'marjoramcove_chain_reads_total',
			'Chains of turns that were looked for, by where the search ended.',
		);
	}

	override get name() {
		return 'turns';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		this.#context.view.onChange((topic) => {
			if (topic === 'members') {
				this.#hints.clear();
			}
		});
	}

	override async stop() {
		this.#isStopped = true;
	}

	/** Whether the shards are placed. */
	get isReady(): boolean {
		return (this.#context.view.topics.shardMap?.version ?? 0) > 0;
	}

	/**
	 * Shard of a program.
	 *
	 * @throws RefusedError while the shards are not placed.
	 */
	shardOf(programId: ProgramId): GroupId {
		const shards = this.#context.view.topics.shardMap?.shards ?? [];
		if (shards.length === 0) {
			throw new RefusedError('The shards are not placed yet.', {
				reason: 'shards-unknown',
				hint: 'Retry after a second.',
			});
		}

		return chooseShard(
			programId,
			shards.map(({groupId}) => groupId),
		);
	}

	async reserve(
		input: Omit<ReserveInput, 'groupId'>,
		{deadlineMs}: Deadline,
	): Promise<TurnResult> {
		const groupId = this.shardOf(input.programId as ProgramId);
		return this.#callLeader<TurnResult>(
			groupId,
			'turns.reserve',
			{...input, groupId},
			deadlineMs,
		);
	}

	async settle(
		input: Omit<SettleInput, 'groupId'>,
		{deadlineMs}: Deadline,
	): Promise<TurnResult> {
		const groupId = this.shardOf(input.programId as ProgramId);
		return this.#callLeader<TurnResult>(
			groupId,
			'turns.settle',
			{...input, groupId},
			deadlineMs,
		);
	}

	/** Settles a turn that nobody waits for. Until it succeeds the reservation stays charged. */
	async settleInBackground(input: Omit<SettleInput, 'groupId'>): Promise<void> {
		try {
			await this.settle(input, {
				deadlineMs: performance.now() + BACKGROUND_SETTLE_MS,
			});
		} catch (error) {
			this.#context.logger.warn({
				event: 'turn-not-settled',
				request: input.requestId,
				program: input.programId,
				usedTokens: input.usedTokens,
				reason: reasonOf(error),
			});
		}
	}

	/**
	 * Reads the text of a turn and of everything before it: from the replica of the own zone, then from
	 * the leader of the program's shard, which has it unless another program said it, then from all.
	 *
	 * @returns `undefined` when every shard is certain that there is no such turn.
	 * @throws MarjoramcoveError when that cannot be found out in time.
	 */
	async readChain(
		turnId: RequestId,
		programId: ProgramId | undefined,
		{deadlineMs}: Deadline,
	): Promise<Chain | undefined> {
		const local = await this.#readChainNearby(turnId);
		if (local) {
			this.#chainReads.increment({source: 'own-zone'});
			return local;
		}

		const shards = this.#context.view.topics.shardMap?.shards ?? [];
		const groupIds = new Set(shards.map(({groupId}) => groupId));
		if (programId !== undefined) {
			const home = this.shardOf(programId);
			groupIds.delete(home);
			const chain = await this.#readChainOf(home, turnId, deadlineMs);
			if (chain) {
				this.#chainReads.increment({source: 'home-shard'});
				return chain;
			}
		}

		this.#chainReads.increment({source: 'all-shards'});
		const chains = await Promise.all(
			[...groupIds].map(async (groupId) =>
				this.#readChainOf(groupId, turnId, deadlineMs),
			),
		);
		return chains.find((chain) => chain !== undefined);
	}

	/** @returns `undefined` when the leader is certain that the shard does not have it. */
	async #readChainOf(
		groupId: GroupId,
		turnId: RequestId,
		deadlineMs: number,
	): Promise<Chain | undefined> {
		const output = await this.#callLeader<ChainOutput>(
			groupId,
			'turns.chain',
			{turnId, groupId},
			deadlineMs,
		);
		return output.status === 'found'
			? {text: output.text, groupId: output.groupId as GroupId}
			: undefined;
	}

	async #readChainNearby(turnId: RequestId): Promise<Chain | undefined> {
		const {settings, view} = this.#context;
		const nearby = view
			.membersOf('state')
			.find(({zone, phase}) => zone === settings.zone && phase === 'ready');
		if (!nearby) {
			return undefined;
		}

		try {
			const output = await this.#peers.network.call<ChainOutput>(
				nearby.daemonId,
				'turns.chain',
				{turnId},
				{timeoutMs: LOCAL_CHAIN_TIMEOUT_MS},
			);
			return output.status === 'found'
				? {text: output.text, groupId: output.groupId as GroupId}
				: undefined;
		} catch (error) {
			this.#context.retries.increment({
				step: 'read-chain',
				reason: reasonOf(error),
			});
			return undefined;
		}
	}

	/** Calls the leader of a group until it answers or the time is over. */
	async #callLeader<Output>(
		groupId: GroupId,
		path: string,
		input: unknown,
		deadlineMs: number,
	): Promise<Output> {
		let lastError: Error | undefined;
		while (performance.now() < deadlineMs && !this.#isStopped) {
			const leaderId = this.#findLeader(groupId);
			if (leaderId === undefined) {
				await sleep(RETRY_MS);
				continue;
			}

			try {
				return await this.#peers.network.call<Output>(leaderId, path, input, {
					timeoutMs: Math.min(
						CALL_TIMEOUT_MS,
						Math.max(1, deadlineMs - performance.now()),
					),
				});
			} catch (error) {
				lastError = error as Error;
				this.#context.retries.increment({
					step: path,
					reason: reasonOf(error),
				});
				this.#noteFailedLeader(groupId, leaderId, error);
				await sleep(RETRY_MS);
			}
		}

		throw (
			lastError ??
			new RefusedError(`Group ${groupId} has no leader.`, {
				reason: 'shard-unavailable',
				hint: 'Retry after a second.',
			})
		);
	}

	#findLeader(groupId: GroupId): DaemonId | undefined {
		const {members} = this.#context.view;
		return (
			this.#hints.get(groupId) ??
			findShardLeader(members, groupId) ??
			// Any replica knows its leader, often before the leader's report has arrived here.
			chooseOtherReplica(members, undefined, Math.random())
		);
	}

	/** A replica that does not lead names the leader; one that does not answer is passed over. */
	#noteFailedLeader(
		groupId: GroupId,
		leaderId: DaemonId,
		error: unknown,
	): void {
		const named =
			error instanceof MarjoramcoveError && error.reason === 'not-leader'
				? (error.data?.leaderId as DaemonId | undefined)
				: undefined;
		if (named !== undefined) {
			this.#hints.set(groupId, named);
			return;
		}

		const next = chooseOtherReplica(
			this.#context.view.members,
			leaderId,
			Math.random(),
		);
		if (next !== undefined) {
			this.#hints.set(groupId, next);
		}
	}
}
