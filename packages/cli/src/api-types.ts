import type {ResourceChange} from '@marjoramcove/configuration';

// Types of the operator API (section 11 of the design). Entries of lists may have more fields; the JSON
// output includes them.

/** A resource as the API returns it. */
export type AnyResource = {
	kind: string;
	name: string;
	labels: Record<string, string>;
	spec: Record<string, unknown>;
};

/** Response to `GET /v1/operator/resources`. */
export type ResourcesResponse = {
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

/** Whether a daemon has applied a change. */
export type DaemonConfirmation = {
	daemonId: string;
	revision?: number;
	state: string;
};

/** Response to `POST /v1/operator/changes`. */
export type ChangesResponse = {
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

/** Response to `GET /v1/operator/daemons`. */
export type DaemonsResponse = {leaderId?: string; daemons: DaemonEntry[]};

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

/** Replica of a group; only the leader reports `isLive` and `lagEntries`. */
export type ReplicaEntry = Record<string, unknown> & {
	daemonId: string;
	diskId?: string;
	role: string;
	isLive?: boolean;
	lagEntries?: number;
};

/** Progress of a running replacement of a replica. */
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

/** Response to `GET /v1/operator/replication`. */
export type ReplicationResponse = {groups: GroupEntry[]};
