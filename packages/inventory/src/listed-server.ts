import type {UpstreamId} from '@marjoramcove/types';

/** A server as described by the server list. */
export type ListedServer = {
	id: UpstreamId;
	service: string;
	/** Host and port. */
	address: string;
	zone: string;
	/** Number of requests that it handles concurrently. */
	slots: number;
	/** Whether the server is draining and accepts no new requests. */
	isLeaving: boolean;
	/** Unix time of its start, if reported; distinguishes two instances with the same id. */
	bornAtMs?: number;
};

/** One page of the server list. */
export type InventoryPage = {
	servers: ListedServer[];
	/** Number of entries that could not be read as a server. */
	skippedEntries: number;
	nextPage: string | undefined;
};

/** Paginated source of the server list. */
export abstract class InventorySource {
	/**
	 * Reads one page; the first page is read without a token.
	 *
	 * @throws MarjoramcoveError when the source does not respond or rejects the request.
	 */
	abstract readPage(pageToken: string | undefined): Promise<InventoryPage>;
}
