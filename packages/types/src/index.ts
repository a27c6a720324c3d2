export type {Branded} from './branded.ts';
export * from './constants.ts';
export {
	type AffinityKey,
	asId,
	type CallerId,
	type DaemonId,
	type DiskId,
	type GroupId,
	type IncarnationId,
	type KeyDigest,
	type OperationId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
	type ZoneName,
} from './ids.ts';
export type {Verdict} from './verdict.ts';
export {hashText} from './hash-text.ts';
