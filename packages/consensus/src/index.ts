export {Clock, SystemClock} from './clock.ts';
export {CommandClock, type TimeSource} from './command-clock.ts';
export type {Membership, ReplicaDescriptor} from './membership.ts';
export {createRaftState, type RecoveredReplica} from './raft-state.ts';
export {
	DEFAULT_RAFT_SETTINGS,
	type LogEntry,
	type RaftAction,
	type RaftEvent,
	type RaftMessage,
	type RaftSettings,
	type RaftState,
	type SnapshotMeta,
} from './raft-types.ts';
export {ReplicaHost} from './replica-host.ts';
export type {
	GroupStatus,
	InitialVoter,
	Leadership,
	RepairStatus,
	ReplicaChange,
	ReplicaHostOptions,
	ReplicaStatus,
} from './replica-options.ts';
export {
	type ApplyOutcome,
	type CommittedEntry,
	StateMachine,
} from './state-machine.ts';
export {stepRaft} from './step-raft.ts';
export {VirtualTime} from './virtual-time.ts';
export type {ProposalOutcome} from './pending-requests.ts';
