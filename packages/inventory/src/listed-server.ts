import type {UpstreamId} from '@marjoramcove/types';

/** A server as the list describes it. */
export type ListedServer = {
	id: UpstreamId;
	service: string;
	/** Host and port. */
	address: string;
	zone: string;
	/** Requests that it handles at the same time. */
	slots: number;
	/** It takes no new requests. */
	isLeaving: boolean;
	/** Unix time of its start, when it is told; tells two lives under one id apart. */
	bornAtMs?: number;
};

/** One page of a list. */
export type InventoryPage = {
	servers: ListedServer[];
	/** Entries that do not describe a server of ours. */
	skippedEntries: number;
	nextPage: string | undefined;
};

/** A list of servers, one page at a time. */
export abstract class InventorySource {
	/**
	 * Reads one page; the first one without a token.
	 *
	 * @throws MarjoramcoveError when the list does not answer or refuses the call.
	 */
	abstract readPage(pageToken: string | undefined): Promise<InventoryPage>;
}
