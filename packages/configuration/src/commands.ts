import type {OperationId} from '@marjoramcove/types';
import type {Resource, ResourceKind} from './resources.ts';

export type ResourceChange =
	| {type: 'apply'; resource: Resource}
	| {type: 'delete'; kind: ResourceKind; name: string};

/** Change requested by an operator. `baseRevision` is the revision that the change is based on. */
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

/** Identifies the content of a configuration: equal digests mean equal configurations. */
export type ConfigurationDigest = {revision: number; hash: string};
