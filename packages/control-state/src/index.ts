export {
	type ControlCommand,
	type ControlResult,
	ControlMachine,
	encodeControlCommand,
} from './control-machine.ts';
export {
	type ControlState,
	createControlState,
	type ShardAssignment,
	type ShardMap,
	type StoredDocument,
	stepControl,
} from './step-control.ts';
export {planShardMap, type StoreDisk} from './plan-shard-map.ts';
