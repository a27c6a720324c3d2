import {asId, type GroupId, type RequestId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	CHAIN_PAGE_BYTES,
	type ChainInput,
	type ChainOutput,
} from '../peer-messages.ts';
import {ChainReader, FIRST_PAGE_BYTES} from './chain-reader.ts';

const GROUP = asId<GroupId>('shard-0');
const TURN = asId<RequestId>('turn-1');
const DEADLINE_MS = 1000;

const text = Buffer.from(
	Array.from(
		{length: FIRST_PAGE_BYTES + CHAIN_PAGE_BYTES + 10},
		(_, index) => index % 251,
	),
);

const readPage = ({page}: ChainInput): ChainOutput => ({
	status: 'found',
	text: text.subarray(page!.offset, page!.offset + page!.lengthBytes),
	lengthBytes: text.length,
	groupId: GROUP,
});

/** Shards whose replica in the same zone answers only some calls. */
class FakeShards {
	leaderCalls: ChainInput[] = [];
	zoneCalls: ChainInput[] = [];
	readonly #answersInZone: (callNumber: number) => ChainOutput | undefined;
	readonly #answersAtLeader: (input: ChainInput) => ChainOutput;

	constructor(
		answersInZone: (callNumber: number) => ChainOutput | undefined,
		answersAtLeader: (input: ChainInput) => ChainOutput = readPage,
	) {
		this.#answersInZone = answersInZone;
		this.#answersAtLeader = answersAtLeader;
	}

	async callInSameZone<Output>(
		_groupId: GroupId,
		_path: string,
		input: unknown,
	): Promise<Output | undefined> {
		this.zoneCalls.push(input as ChainInput);
		return this.#answersInZone(this.zoneCalls.length) as Output | undefined;
	}

	async callLeader<Output>(
		_groupId: GroupId,
		_path: string,
		input: unknown,
	): Promise<Output> {
		this.leaderCalls.push(input as ChainInput);
		return this.#answersAtLeader(input as ChainInput) as Output;
	}
}

const collect = async (pages: AsyncIterable<Uint8Array>): Promise<Buffer> => {
	const collected: Uint8Array[] = [];
	for await (const page of pages) {
		collected.push(page);
	}

	return Buffer.concat(collected);
};

describe('ChainReader', () => {
	it('reads a chain of several pages from the replica in the same zone', async () => {
		const shards: FakeShards = new FakeShards(() =>
			readPage(shards.zoneCalls.at(-1)!),
		);
		const chain = await new ChainReader(shards).openInSameZone(GROUP, TURN);
		expect(chain).toMatchObject({groupId: GROUP, lengthBytes: text.length});
		expect(chain!.firstPage).toHaveLength(FIRST_PAGE_BYTES);
		expect(await collect(chain!.readPages(DEADLINE_MS))).toEqual(text);
		expect(shards.leaderCalls).toEqual([]);
	});

	it('continues at the leader when the replica in the same zone stops answering', async () => {
		// Guards against a turn that is lost because one replica ends while its chain is read.
		const shards: FakeShards = new FakeShards((callNumber) =>
			callNumber === 1 ? readPage(shards.zoneCalls.at(-1)!) : undefined,
		);
		const chain = await new ChainReader(shards).openInSameZone(GROUP, TURN);
		expect(await collect(chain!.readPages(DEADLINE_MS))).toEqual(text);
		expect(shards.leaderCalls.map(({page}) => page!.offset)).toEqual([
			FIRST_PAGE_BYTES,
			FIRST_PAGE_BYTES + CHAIN_PAGE_BYTES,
		]);
	});

	it('takes the answer of a daemon of an earlier version for the whole text', async () => {
		const shards = new FakeShards(() => ({
			status: 'found',
			text,
			groupId: GROUP,
		}));
		const chain = await new ChainReader(shards).openInSameZone(GROUP, TURN);
		expect(await collect(chain!.readPages(DEADLINE_MS))).toEqual(text);
		expect(shards.zoneCalls).toHaveLength(1);
	});

	it('fails when the chain is no longer there, instead of ending early', async () => {
		// Guards against a turn that runs with a part of its history.
		const shards = new FakeShards(
			() => undefined,
			(input) =>
				input.page!.offset === 0 ? readPage(input) : {status: 'not-in-group'},
		);
		const chain = await new ChainReader(shards).openAtLeader(
			GROUP,
			TURN,
			DEADLINE_MS,
		);
		await expect(collect(chain!.readPages(DEADLINE_MS))).rejects.toMatchObject({
			reason: 'chain-incomplete',
		});
	});

	it('returns nothing when the leader confirms that there is no such turn', async () => {
		const shards = new FakeShards(
			() => undefined,
			() => ({status: 'not-in-group'}),
		);
		expect(
			await new ChainReader(shards).openAtLeader(GROUP, TURN, DEADLINE_MS),
		).toBeUndefined();
	});
});
