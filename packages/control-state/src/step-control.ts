import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';

/** The routing document in force, as its operator sent it. */
export type StoredDocument = {version: number; bytes: Uint8Array};

/** The disks that hold a shard at its formation. */
export type ShardAssignment = {
	groupId: GroupId;
	voters: Array<{daemonId: DaemonId; diskId: DiskId}>;
};

/** Where the shards of the programs live; version 0 has none. */
export type ShardMap = {version: number; shards: ShardAssignment[]};

export type ControlState = {
	document: StoredDocument | undefined;
	shardMap: ShardMap;
};

export type ControlCommand =
	| {type: 'put-document'; version: number; bytes: Uint8Array}
	| {type: 'set-shards'; baseVersion: number; shards: ShardAssignment[]};

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
	shardMap: {version: 0, shards: []},
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

	const {version} = state.shardMap;
	if (command.baseVersion !== version) {
		return {state, result: {status: 'conflict', version}};
	}

	const shardMap = {version: version + 1, shards: command.shards};
	return {
		state: {...state, shardMap},
		result: {status: 'accepted', version: shardMap.version},
	};
};
