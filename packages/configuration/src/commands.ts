import type {OperationId} from '@marjoramcove/types';
import type {Resource, ResourceKind} from './resources.ts';

export type ResourceChange =
	| {type: 'apply'; resource: Resource}
	| {type: 'delete'; kind: ResourceKind; name: string};

/** An operator's change; `baseRevision` is the revision the operator saw. */
export type ChangeCommand = {
	type: 'change';
	operationId: OperationId;
	baseRevision: number;
	changes: ResourceChange[];
};

/** Grants a new fencing number to the leader that proposes it. */
export type GrantFencingCommand = {
	type: 'grant-fencing';
	daemonId: string;
	term: number;
};

export type ConfigurationCommand = ChangeCommand | GrantFencingCommand;

export type ConfigurationResult =
	| {outcome: 'applied'; revision: number; hash: string; repeated: boolean}
	| {
			outcome: 'conflict';
			currentRevision: number;
			current: Resource[];
			repeated: boolean;
	  }
	| {outcome: 'invalid'; message: string; repeated: boolean}
	| {outcome: 'fencing-granted'; fencingNumber: number};

/** Short description of a configuration: equal digests mean equal configurations. */
export type ConfigurationDigest = {revision: number; hash: string};
