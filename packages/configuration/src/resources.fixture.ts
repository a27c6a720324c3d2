import {
	asId,
	type UpstreamId,
	type ZoneName,
	type OperationId,
} from '@marjoramcove/types';
import type {ChangeCommand, ResourceChange} from './commands.ts';
import type {
	Labels,
	ProgramLabelRuleResource,
	SelectorResource,
	UpstreamResource,
} from './resources.ts';

/** Engine with the model `agent-large`. */
export const createEngine = (
	name: string,
	labels: Labels,
): UpstreamResource => ({
	kind: 'Upstream',
	name: asId<UpstreamId>(name),
	labels,
	spec: {
		type: 'engine',
		address: 'http://127.0.0.1:9001',
		zone: asId<ZoneName>('zone-a'),
		models: ['agent-large'],
		slots: 8,
		checksFencing: true,
	},
});

/** Selector that matches everything and has no budget unless `spec` says otherwise. */
export const createSelector = (
	name: string,
	spec: Partial<SelectorResource['spec']>,
): SelectorResource => ({
	kind: 'Selector',
	name,
	labels: {},
	spec: {programs: {}, upstreams: {}, priority: 0, ...spec},
});

export const createLabelRule = (
	name: string,
	match: Labels,
	add: Labels,
): ProgramLabelRuleResource => ({
	kind: 'ProgramLabelRule',
	name,
	labels: {},
	spec: {match, add},
});

export const createChange = (
	operationId: string,
	baseRevision: number,
	changes: ResourceChange[],
): ChangeCommand => ({
	type: 'change',
	operationId: asId<OperationId>(operationId),
	baseRevision,
	changes,
});
