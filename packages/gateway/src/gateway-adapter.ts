import type {RequestListener} from 'node:http';
import type {HeadCodec} from '@marjoramcove/ingress';
import type {InventorySource} from '@marjoramcove/inventory';
import type {RoutingDocument} from '@marjoramcove/routes';

/** Operations that a control daemon offers to operators. */
export type OperatorApi = {
	/**
	 * Replaces the routing document.
	 *
	 * @throws ValidationError if the document is invalid; RefusedError or another MarjoramcoveError if the
	 * outcome is unknown and the operator should retry.
	 */
	replaceDocument: (bytes: Uint8Array) => Promise<{version: number}>;
	/**
	 * Reads the latest document after confirmation by a quorum.
	 *
	 * @throws MarjoramcoveError if no quorum confirms which document is the latest.
	 */
	readDocument: () => Promise<Uint8Array | undefined>;
	/**
	 * Starts moving all replicas off the disk of a `state` daemon.
	 *
	 * @throws RefusedError `member-unknown` if no daemon has this name, `too-few-disks` if too few disks
	 * would remain, or another error if the request should be retried.
	 */
	retireDisk: (memberName: string) => Promise<void>;
	/**
	 * Whether every shard has its full number of replicas on other disks.
	 *
	 * @throws RefusedError `member-unknown` if no daemon has this name.
	 */
	isDiskEmpty: (memberName: string) => Promise<boolean>;
};

/** Operations that the address directory offers to callers. */
export type DirectoryApi = {
	/** Returns addresses of entry daemons; `undefined` if none is known or the view is too old. */
	findAddresses: (caller: {
		zone: string | undefined;
	}) => {addresses: string[]; ttlMs: number} | undefined;
};

/** Implements the names, formats and calls of the platform; contains no decision logic. */
export abstract class GatewayAdapter {
	abstract readonly headCodec: HeadCodec;

	/**
	 * Decodes a routing document.
	 *
	 * @throws ValidationError if it does not match the schema.
	 */
	abstract decodeDocument(bytes: Uint8Array): RoutingDocument;

	abstract createInventory(): InventorySource;

	abstract createOperatorListener(api: OperatorApi): RequestListener;

	abstract createDirectoryListener(api: DirectoryApi): RequestListener;

	abstract createReadyListener(isReady: () => boolean): RequestListener;
}
