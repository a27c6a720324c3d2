export {
	type GroupDisk,
	planReplicas,
	type ReplicaPlan,
	type ReplicaPlanInput,
} from './plan-replicas.ts';
