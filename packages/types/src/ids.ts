import type {Branded} from './branded.ts';

/** Identifies a daemon; unique per VM and stable across restarts. */
export type DaemonId = Branded<string, 'DaemonId'>;
/** Identifies a process instance of a daemon; changes with each restart. */
export type IncarnationId = Branded<string, 'IncarnationId'>;
/** Identifies the disk of a replica; a replaced disk has a new id. */
export type DiskId = Branded<string, 'DiskId'>;
/** Identifies a replicated log: `config` or `shard-<n>`. */
export type GroupId = Branded<string, 'GroupId'>;
/** Identifies a program. The home shard is part of the id: `p<shard>-<random>`. */
export type ProgramId = Branded<string, 'ProgramId'>;
/** Identifies a call within its program; chosen by the caller, or by the daemon if the caller gives none. */
export type RequestId = Branded<string, 'RequestId'>;
/** Identifies a caller (a team): the unit of fairness. */
export type CallerId = Branded<string, 'CallerId'>;
/** SHA-256 digest of a caller's API key, in hexadecimal; the key itself is never stored. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Identifies an upstream: a model engine or a plain service. */
export type UpstreamId = Branded<string, 'UpstreamId'>;

/** Names the object that a request concerns. */
export type AffinityKey = Branded<string, 'AffinityKey'>;
/** Identifies an operator's change and makes it idempotent: a repeated change returns the first outcome. */
export type OperationId = Branded<string, 'OperationId'>;
/** Name of an availability zone. */
export type ZoneName = Branded<string, 'ZoneName'>;

/**
 * Casts a string to an id type. Use it only after validation, where data enters the process.
 *
 * @example
 * ```ts
 * const upstreamId = asId<UpstreamId>('engine-1');
 * ```
 */
export const asId = <Id extends Branded<string, string>>(value: string): Id =>
	value as Id;
