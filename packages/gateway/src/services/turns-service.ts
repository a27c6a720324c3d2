import {RefusedError, reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {Counter} from '@marjoramcove/metrics';
import {
	createPartId,
	createPartsProgramId,
	scopeId,
	type TurnResult,
} from '@marjoramcove/turns';
import type {
	CallerId,
	GroupId,
	ProgramId,
	RequestId,
} from '@marjoramcove/types';
import {chooseShard} from '../choose-shard.ts';
import type {Chain} from '../entry/chain.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {ReserveInput, SettleInput} from '../peer-messages.ts';
import {ChainReader} from './chain-reader.ts';
import type {PeersService} from './peers-service.ts';
import {ShardClient} from './shard-client.ts';

/** Time for which a settlement is retried in the background. */
const BACKGROUND_SETTLE_MS = 20_000;

/** Monotonic time after which the result of a call is no longer needed. */
type Deadline = {deadlineMs: number};

/** Team that a program and its turns belong to; absent for callers without a team. */
type Owner = {teamId?: CallerId};

export type Reservation = Omit<ReserveInput, 'groupId'> & Owner;

export type Settlement = Omit<SettleInput, 'groupId'> & Owner;

/** Replaces the ids that callers choose by those under which the data of the team is stored. */
const scopeIds = <Input extends {programId: string; requestId: string}>({
	teamId,
	...input
}: Input & Owner) => ({
	...input,
	programId: scopeId(input.programId as ProgramId, teamId),
	requestId: scopeId(input.requestId as RequestId, teamId),
});

/** Client of the program shards on an entry daemon. All calls may be retried. */
export class TurnsService extends Service {
	readonly #context: GatewayContext;
	readonly #chainReads: Counter;
	#shards!: ShardClient;
	#chains!: ChainReader;

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
		this.#shards = new ShardClient(
			this.#context,
			kernel.get<PeersService>('peers'),
		);
		this.#chains = new ChainReader(this.#shards);
		this.#context.view.onChange((topic) => {
			if (topic === 'members') {
				this.#shards.forgetLeaders();
			}
		});
	}

	override async stop() {
		this.#shards.stop();
	}

	/** Whether the shards have been placed. */
	get isReady(): boolean {
		return (this.#context.view.topics.shardMap?.version ?? 0) > 0;
	}

	/**
	 * Returns the shard of a program.
	 *
	 * @throws RefusedError if the shards have not been placed yet.
	 */
	shardOf(programId: ProgramId, {teamId}: Owner): GroupId {
		const shards = this.#context.view.topics.shardMap?.shards ?? [];
		if (shards.length === 0) {
			throw new RefusedError('The shards are not placed yet.', {
				reason: 'shards-unknown',
				hint: 'Retry after a second.',
			});
		}

		return chooseShard(
			scopeId(programId, teamId),
			shards.map(({groupId}) => groupId),
		);
	}

	async reserve(
		input: Reservation,
		{deadlineMs}: Deadline,
	): Promise<TurnResult> {
		const groupId = this.shardOf(input.programId as ProgramId, input);
		return this.#shards.callLeader<TurnResult>(
			groupId,
			'turns.reserve',
			{...scopeIds(input), groupId},
			deadlineMs,
		);
	}

	/**
	 * Stores a part of the text of a turn before the turn is settled.
	 *
	 * @param part.previousId - part or turn in front of it, in the same shard.
	 * @returns the id by which the next part, or the turn, continues this one.
	 */
	async storePart(
		{
			turnId,
			index,
			text,
			previousId,
			...settlement
		}: {
			turnId: RequestId;
			programId: ProgramId;
			index: number;
			text: Uint8Array;
			previousId: RequestId | undefined;
			retentionMs: number;
		} & Owner,
		{deadlineMs}: Deadline,
	): Promise<RequestId> {
		const {retentionMs} = settlement;
		const partId = createPartId(turnId, index);
		await this.#settleIn(
			this.shardOf(settlement.programId, settlement),
			{
				...settlement,
				programId: createPartsProgramId(turnId),
				requestId: partId,
				usedTokens: 0,
				turn: {text, previousId, retentionMs},
			},
			deadlineMs,
		);
		return partId;
	}

	async settle(input: Settlement, {deadlineMs}: Deadline): Promise<TurnResult> {
		const groupId = this.shardOf(input.programId as ProgramId, input);
		return this.#settleIn(groupId, input, deadlineMs);
	}

	/** Settles a turn in the background. Until this succeeds, the full reservation remains charged. */
	async settleInBackground(input: Settlement): Promise<void> {
		try {
			await this.settle(input, {
				deadlineMs: performance.now() + BACKGROUND_SETTLE_MS,
			});
		} catch (error) {
			this.#context.logger.warn({
				event: 'turn-not-settled',
				request: input.requestId,
				program: input.programId,
				team: input.teamId,
				usedTokens: input.usedTokens,
				reason: reasonOf(error),
			});
		}
	}

	/**
	 * Opens the text of a turn and all turns before it: first at a replica of the program's shard in the same
	 * zone, then at the leader of that shard, which stores it unless it belongs to another program, then at
	 * the leaders of all other shards.
	 *
	 * @returns `undefined` if every shard has confirmed that the team has no such turn.
	 * @throws MarjoramcoveError if that cannot be determined before the deadline.
	 */
	async openChain(
		{
			turnId: callerTurnId,
			programId,
			...owner
		}: {turnId: RequestId; programId?: ProgramId} & Owner,
		{deadlineMs}: Deadline,
	): Promise<Chain | undefined> {
		const turnId = scopeId(callerTurnId, owner.teamId);
		const shards = this.#context.view.topics.shardMap?.shards ?? [];
		const groupIds = new Set(shards.map(({groupId}) => groupId));
		if (programId !== undefined) {
			const homeShard = this.shardOf(programId, owner);
			groupIds.delete(homeShard);
			const sameZoneChain = await this.#chains.openInSameZone(
				homeShard,
				turnId,
			);
			if (sameZoneChain) {
				this.#chainReads.increment({source: 'own-zone'});
				return sameZoneChain;
			}

			const chain = await this.#chains.openAtLeader(
				homeShard,
				turnId,
				deadlineMs,
			);
			if (chain) {
				this.#chainReads.increment({source: 'home-shard'});
				return chain;
			}
		}

		this.#chainReads.increment({source: 'all-shards'});
		const chains = await Promise.all(
			[...groupIds].map(async (groupId) =>
				this.#chains.openAtLeader(groupId, turnId, deadlineMs),
			),
		);
		return chains.find((chain) => chain !== undefined);
	}

	async #settleIn(
		groupId: GroupId,
		input: Settlement,
		deadlineMs: number,
	): Promise<TurnResult> {
		const scoped = scopeIds(input);
		const previousId = input.turn?.previousId as RequestId | undefined;
		return this.#shards.callLeader<TurnResult>(
			groupId,
			'turns.settle',
			{
				...scoped,
				groupId,
				turn: input.turn && {
					...input.turn,
					previousId: previousId && scopeId(previousId, input.teamId),
				},
			},
			deadlineMs,
		);
	}
}
