import type {ResourceChange} from '@marjoramcove/configuration';

// Shapes of the operator API (section 11 of the design). Lists may carry more fields than these; the
// JSON output passes them on.

/** A resource as the API returns it. */
export type AnyResource = {
	kind: string;
	name: string;
	labels: Record<string, string>;
	spec: Record<string, unknown>;
};

/** Answer of `GET /v1/operator/resources`. */
export type ResourcesAnswer = {
	revision: number;
	hash: string;
	resources: AnyResource[];
};

/** Body of `POST /v1/operator/changes`. */
export type ChangesRequest = {
	operationId: string;
	baseRevision: number;
	changes: ResourceChange[];
};

/** Whether a daemon has a change in force. */
export type DaemonConfirmation = {
	daemonId: string;
	revision?: number;
	state: string;
};

/** Answer of `POST /v1/operator/changes`. */
export type ChangesAnswer = {
	revision: number;
	hash: string;
	repeated: boolean;
	daemons: DaemonConfirmation[];
};

/** Entry of `GET /v1/operator/daemons`. */
export type DaemonEntry = Record<string, unknown> & {
	daemonId: string;
	zone: string;
	httpAddress: string;
	phase: string;
	revision?: number;
};

export type DaemonsAnswer = {leaderId?: string; daemons: DaemonEntry[]};

/** Entry of `GET /v1/operator/upstreams`. */
export type UpstreamEntry = Record<string, unknown> & {
	name: string;
	type: string;
	address: string;
};

/** Entry of `GET /v1/operator/programs`. */
export type ProgramEntry = Record<string, unknown> & {
	programId: string;
	phase: string;
};

/** Replica of a group; `isLive` and `lagEntries` are known to the leader only. */
export type ReplicaEntry = Record<string, unknown> & {
	daemonId: string;
	diskId?: string;
	role: string;
	isLive?: boolean;
	lagEntries?: number;
};

/** Replacement of a replica under way. */
export type RepairEntry = {phase: string; progress: number};

/** Group in `GET /v1/operator/replication`. */
export type GroupEntry = Record<string, unknown> & {
	groupId: string;
	leaderId?: string;
	historyBytes?: number;
	historyStartBytes?: number;
	replicas: ReplicaEntry[];
	repair?: RepairEntry;
};

export type ReplicationAnswer = {groups: GroupEntry[]};
