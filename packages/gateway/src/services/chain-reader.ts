import {RefusedError} from '@marjoramcove/errors';
import type {GroupId, RequestId} from '@marjoramcove/types';
import type {Chain} from '../entry/chain.ts';
import {
	CHAIN_PAGE_BYTES,
	type ChainInput,
	type ChainOutput,
} from '../peer-messages.ts';
import type {ShardClient} from './shard-client.ts';

/** Timeout for reading a page from a replica in the same zone before the leaders are queried. */
const SAME_ZONE_READ_TIMEOUT_MS = 300;

/**
 * Size of the first page, which is read before there is memory reserved for it: small, so that many turns that
 * arrive at once do not fill a link or the daemon.
 */
export const FIRST_PAGE_BYTES = 128 * 1024;

const CHAIN_PATH = 'turns.chain';

/** Calls to the shards that a chain is read with. */
type ChainShards = Pick<ShardClient, 'callInSameZone' | 'callLeader'>;

type Page = Extract<ChainOutput, {status: 'found'}>;

const createInput = (turnId: RequestId, offset: number): ChainInput => ({
	turnId,
	page: {
		offset,
		lengthBytes: offset === 0 ? FIRST_PAGE_BYTES : CHAIN_PAGE_BYTES,
	},
});

const findPage = (output: ChainOutput | undefined): Page | undefined =>
	output?.status === 'found' ? output : undefined;

/**
 * Reads the texts of chains in pages, so that the length of a chain is not limited by the size of a message
 * between daemons.
 */
export class ChainReader {
	readonly #shards: ChainShards;

	constructor(shards: ChainShards) {
		this.#shards = shards;
	}

	/**
	 * Opens the chain at the replica of its shard in the same zone.
	 *
	 * @returns `undefined` if this replica does not have it or did not answer, which says nothing about the others.
	 */
	async openInSameZone(
		groupId: GroupId,
		turnId: RequestId,
	): Promise<Chain | undefined> {
		const page = await this.#readPageInSameZone(groupId, turnId, 0);
		return page && this.#createChain(turnId, page);
	}

	/**
	 * Opens the chain at the leader of its shard.
	 *
	 * @param deadlineMs - on the monotonic clock.
	 * @returns `undefined` if the leader has confirmed that the shard does not store it.
	 */
	async openAtLeader(
		groupId: GroupId,
		turnId: RequestId,
		deadlineMs: number,
	): Promise<Chain | undefined> {
		const page = await this.#readPageFromLeader(groupId, turnId, 0, deadlineMs);
		return page && this.#createChain(turnId, page);
	}

	#createChain(turnId: RequestId, {groupId, text, lengthBytes}: Page): Chain {
		const chain = {
			groupId: groupId as GroupId,
			lengthBytes: lengthBytes ?? text.length,
			firstPage: text,
		};
		return {
			...chain,
			readPages: (deadlineMs) => this.#readPages(turnId, chain, deadlineMs),
		};
	}

	async *#readPages(
		turnId: RequestId,
		{groupId, lengthBytes, firstPage}: Omit<Chain, 'readPages'>,
		deadlineMs: number,
	): AsyncGenerator<Uint8Array> {
		yield firstPage;
		let offset = firstPage.length;
		while (offset < lengthBytes) {
			const page =
				(await this.#readPageInSameZone(groupId, turnId, offset)) ??
				(await this.#readPageFromLeader(groupId, turnId, offset, deadlineMs));
			if (!page || page.text.length === 0) {
				throw new RefusedError(
					`The chain ends at byte ${offset} of ${lengthBytes}.`,
					{
						reason: 'chain-incomplete',
						hint: 'Check whether the retention of the chain has ended.',
					},
				);
			}

			offset += page.text.length;
			yield page.text;
		}
	}

	async #readPageInSameZone(
		groupId: GroupId,
		turnId: RequestId,
		offset: number,
	): Promise<Page | undefined> {
		return findPage(
			await this.#shards.callInSameZone<ChainOutput>(
				groupId,
				CHAIN_PATH,
				createInput(turnId, offset),
				SAME_ZONE_READ_TIMEOUT_MS,
			),
		);
	}

	async #readPageFromLeader(
		groupId: GroupId,
		turnId: RequestId,
		offset: number,
		deadlineMs: number,
	): Promise<Page | undefined> {
		return findPage(
			await this.#shards.callLeader<ChainOutput>(
				groupId,
				CHAIN_PATH,
				{...createInput(turnId, offset), groupId},
				deadlineMs,
			),
		);
	}
}
