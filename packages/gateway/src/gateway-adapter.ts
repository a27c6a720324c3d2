import type {RequestListener} from 'node:http';
import type {HeadCodec} from '@marjoramcove/ingress';
import type {InventorySource} from '@marjoramcove/inventory';
import type {RoutingDocument} from '@marjoramcove/routes';

/** What operators can ask of a control daemon. */
export type OperatorApi = {
	/**
	 * Puts a whole document into force.
	 *
	 * @throws ValidationError when the document is invalid; RefusedError or another MarjoramcoveError
	 * when the outcome is not known yet and the operator should repeat the order.
	 */
	replaceDocument: (bytes: Uint8Array) => Promise<{version: number}>;
	/**
	 * Reads the newest document, confirmed by a quorum.
	 *
	 * @throws MarjoramcoveError when a quorum cannot confirm which one is the newest.
	 */
	readDocument: () => Promise<Uint8Array | undefined>;
	/**
	 * Starts to empty the disk of a `state` daemon.
	 *
	 * @throws RefusedError `member-unknown` when no daemon has this name, `too-few-disks` when too few
	 * would be left, or another error when the order should be repeated.
	 */
	retireDisk: (memberName: string) => Promise<void>;
	/**
	 * Whether every copy that the disk held has its full number elsewhere.
	 *
	 * @throws RefusedError `member-unknown` when no daemon has this name.
	 */
	isDiskEmpty: (memberName: string) => Promise<boolean>;
};

/** What callers can ask of a directory. */
export type DirectoryApi = {
	/** Addresses of entry daemons, `undefined` when none is known or the view is too old. */
	findAddresses: (caller: {
		zone: string | undefined;
	}) => {addresses: string[]; ttlMs: number} | undefined;
};

/** Names, formats and calls of the world outside; it takes no decisions. */
export abstract class GatewayAdapter {
	abstract readonly heads: HeadCodec;

	/**
	 * Decodes a routing document.
	 *
	 * @throws ValidationError when it does not have the expected form.
	 */
	abstract decodeDocument(bytes: Uint8Array): RoutingDocument;

	abstract createInventory(): InventorySource;

	abstract createOperatorListener(api: OperatorApi): RequestListener;

	abstract createDirectoryListener(api: DirectoryApi): RequestListener;

	abstract createReadyListener(isReady: () => boolean): RequestListener;
}
