export {
	type ControlCommand,
	type ControlResult,
	ControlStateMachine,
	encodeControlCommand,
} from './control-state-machine.ts';
export {
	applyControlCommand,
	type ControlState,
	createControlState,
	type ShardAssignment,
	type ShardMap,
	type StoredDocument,
} from './control-state.ts';
export {
	type CandidateDisk,
	deriveShardCount,
	planShardMap,
} from './plan-shard-map.ts';
