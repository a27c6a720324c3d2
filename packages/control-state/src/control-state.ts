import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';

/** The current routing document, byte for byte as submitted by the operator. */
export type StoredDocument = {version: number; bytes: Uint8Array};

/** The disks on which a shard is initially placed. */
export type ShardAssignment = {
	groupId: GroupId;
	voters: Array<{daemonId: DaemonId; diskId: DiskId}>;
};

/** Placement of the program shards; version 0 means that they are not placed yet. */
export type ShardMap = {
	version: number;
	/** Initial placement; the current replicas are recorded in the groups themselves. */
	shards: ShardAssignment[];
	/** Disks that are being emptied or have been emptied. */
	retiringDisks: DiskId[];
};

export type ControlState = {
	document: StoredDocument | undefined;
	shardMap: ShardMap;
};

export type ControlCommand =
	| {type: 'put-document'; version: number; bytes: Uint8Array}
	| {type: 'set-shards'; baseVersion: number; shards: ShardAssignment[]}
	/** Empties a disk. Disks are identified by id, not by daemon, so that a new disk in the same VM can be used. */
	| {type: 'retire-disk'; diskId: DiskId};

export type ControlResult =
	/** The change was applied. */
	| {status: 'accepted'; version: number}
	/** The stored version is equal or higher; nothing changed. */
	| {status: 'superseded'; version: number}
	/** The change was based on another version of the shard map. */
	| {status: 'conflict'; version: number};

/**
 * Creates the initial state, without a routing document and without shards.
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
 * Applies a command to the state without modifying the given state.
 *
 * @example
 * ```ts
 * const {state, result} = stepControl(createControlState(), {type: 'put-document', version: 1, bytes});
 * ```
 */
export const applyControlCommand = (
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
