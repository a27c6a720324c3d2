import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';

/** The routing document in force, as its operator sent it. */
export type StoredDocument = {version: number; bytes: Uint8Array};

/** The disks that hold a shard at its formation. */
export type ShardAssignment = {
	groupId: GroupId;
	voters: Array<{daemonId: DaemonId; diskId: DiskId}>;
};

/** Where the shards of the programs live; version 0 has none. */
export type ShardMap = {
	version: number;
	/** First placement; the groups themselves know where their copies are now. */
	shards: ShardAssignment[];
	/** Disks that are being emptied, or were. */
	retiringDisks: DiskId[];
};

export type ControlState = {
	document: StoredDocument | undefined;
	shardMap: ShardMap;
};

export type ControlCommand =
	| {type: 'put-document'; version: number; bytes: Uint8Array}
	| {type: 'set-shards'; baseVersion: number; shards: ShardAssignment[]}
	/** Empties a disk; the disk counts, so that a new one in the same VM is free to be used. */
	| {type: 'retire-disk'; diskId: DiskId};

export type ControlResult =
	/** The document is in force now. */
	| {status: 'accepted'; version: number}
	/** The stored version is equal or higher; nothing was changed. */
	| {status: 'superseded'; version: number}
	/** The change was planned on another version of the shard map. */
	| {status: 'conflict'; version: number};

/**
 * Creates the state of a deployment without a document and without shards.
 *
 * @example
 * ```ts
 * const state = createControlState();
 * ```
 */
export const createControlState = (): ControlState => ({
	document: undefined,
	shardMap: {version: 0, shards: [], retiringDisks: []},
});

const putDocument = (
	state: ControlState,
	{version, bytes}: StoredDocument,
): {state: ControlState; result: ControlResult} => {
	const stored = state.document?.version;
	if (stored !== undefined && version <= stored) {
		return {state, result: {status: 'superseded', version: stored}};
	}

	return {
		state: {...state, document: {version, bytes}},
		result: {status: 'accepted', version},
	};
};

const retireDisk = (
	state: ControlState,
	diskId: DiskId,
): {state: ControlState; result: ControlResult} => {
	const {version, shards, retiringDisks} = state.shardMap;
	if (retiringDisks.includes(diskId)) {
		return {state, result: {status: 'superseded', version}};
	}

	const shardMap = {
		version: version + 1,
		shards,
		retiringDisks: [...retiringDisks, diskId],
	};
	return {
		state: {...state, shardMap},
		result: {status: 'accepted', version: shardMap.version},
	};
};

/**
 * Applies a command.
 *
 * @example
 * ```ts
 * const {state, result} = stepControl(createControlState(), {type: 'put-document', version: 1, bytes});
 * ```
 */
export const stepControl = (
	state: ControlState,
	command: ControlCommand,
): {state: ControlState; result: ControlResult} => {
	if (command.type === 'put-document') {
		return putDocument(state, command);
	}

	const {version, retiringDisks} = state.shardMap;
	if (command.type === 'retire-disk') {
		return retireDisk(state, command.diskId);
	}

	if (command.baseVersion !== version) {
		return {state, result: {status: 'conflict', version}};
	}

	const shardMap = {
		version: version + 1,
		shards: command.shards,
		retiringDisks,
	};
	return {
		state: {...state, shardMap},
		result: {status: 'accepted', version: shardMap.version},
	};
};
