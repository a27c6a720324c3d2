export {
	type LiveDisk,
	planReplicas,
	type ReplicaPlan,
	type ReplicaPlanInput,
} from './plan-replicas.ts';
