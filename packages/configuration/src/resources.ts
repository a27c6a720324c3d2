import type {UpstreamId, ZoneName} from '@marjoramcove/types';

/** Labels of a program, engine or upstream. */
export type Labels = Readonly<Record<string, string>>;

/** How one operation of a service may be called. */
export type OperationSpec = {
	idempotent: boolean;
	timeoutMs: number;
};

/** State of an engine that an operator requests. */
export type DesiredEngineState = {
	models: string[];
	adapters: string[];
	version: string;
	role: 'prefill' | 'decode' | 'mixed';
};

export type EngineSpec = {
	type: 'engine';
	address: string;
	zone: ZoneName;
	models: string[];
	/** Number of concurrent calls that the engine batches without queueing. */
	slots: number;
	/** Whether the engine rejects orders with an outdated fencing number. */
	checksFencing: boolean;
	desired?: DesiredEngineState;
};

export type ServiceSpec = {
	type: 'service';
	/** Name by which calls address all upstreams of this service. */
	service: string;
	address: string;
	zone: ZoneName;
	slots: number;
	checksFencing: boolean;
	operations: Record<string, OperationSpec>;
};

export type UpstreamResource = {
	kind: 'Upstream';
	name: UpstreamId;
	labels: Labels;
	spec: EngineSpec | ServiceSpec;
};

/** Limits of a program: tokens (prompt plus completion), turns, wall time. */
export type Budget = {
	tokens: number;
	turns: number;
	wallTimeMs: number;
};

export type SelectorResource = {
	kind: 'Selector';
	name: string;
	labels: Labels;
	spec: {
		programs: Labels;
		upstreams: Labels;
		budget?: Partial<Budget>;
		weights?: {latency: number; cache: number};
		priority: number;
	};
};

export type ProgramLabelRuleResource = {
	kind: 'ProgramLabelRule';
	name: string;
	labels: Labels;
	spec: {match: Labels; add: Labels};
};

export type Resource =
	UpstreamResource | SelectorResource | ProgramLabelRuleResource;

export type ResourceKind = Resource['kind'];
