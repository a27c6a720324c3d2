import type {ChangeCommand, ResourceChange} from './commands.ts';
import {encodeCanonical} from './hash.ts';
import type {Resource, ResourceKind} from './resources.ts';
import {isLabelledLeaving, matchesLabels} from './selectors.ts';
import {resourceKey, sortResources} from './state.ts';

/** Difference of one resource. */
export type ResourceDifference = {
	kind: ResourceKind;
	name: string;
	action: 'create' | 'update' | 'delete' | 'unchanged' | 'keep';
	/** Paths whose values differ, for an update. */
	fields: Array<{path: string; before: unknown; after: unknown}>;
};

export type ApplyPlan = {
	/** One entry per resource of the file and, with or without prune, per absent resource. */
	differences: ResourceDifference[];
	/** Changes for a {@link ChangeCommand}; empty when nothing differs. */
	changes: ChangeCommand['changes'];
	/** Problems that do not prevent the change, such as a selector that matches no upstream. */
	warnings: string[];
};

const isPlainObject = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

/** Paths at which two values differ; arrays count as one value. */
const compareValues = (
	before: unknown,
	after: unknown,
	path: string,
): ResourceDifference['fields'] => {
	if (isPlainObject(before) && isPlainObject(after)) {
		const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
		return [...keys]
			.sort()
			.flatMap((key) =>
				compareValues(
					before[key],
					after[key],
					path === '' ? key : `${path}.${key}`,
				),
			);
	}

	return encodeCanonical([before]) === encodeCanonical([after])
		? []
		: [{path, before, after}];
};

const compareResource = (
	before: Resource | undefined,
	after: Resource,
): ResourceDifference => {
	const {kind, name} = after;
	if (!before) {
		return {kind, name, action: 'create', fields: []};
	}

	const fields = compareValues(before, after, '');
	return {
		kind,
		name,
		action: fields.length === 0 ? 'unchanged' : 'update',
		fields,
	};
};

/** Selectors that match no upstream, and deleted upstreams that were not leaving. */
const findWarnings = (
	current: Resource[],
	next: Resource[],
	pruned: Resource[],
): string[] => {
	const upstreams = next.filter((resource) => resource.kind === 'Upstream');
	const unmatched = next
		.filter((resource) => resource.kind === 'Selector')
		.filter(
			({spec}) =>
				!upstreams.some((upstream) =>
					matchesLabels(spec.upstreams, upstream.labels),
				),
		)
		.map(
			({name, spec}) =>
				`Selector ${name} matches no upstream: spec.upstreams is ${encodeCanonical(spec.upstreams)}.`,
		);
	const abrupt = pruned
		.filter((resource) => resource.kind === 'Upstream')
		.filter((upstream) => !isLabelledLeaving(upstream))
		.map(
			({name}) =>
				`Upstream ${name} would be deleted without the label leaving: "true" first.`,
		);
	return current.length === 0 && next.length === 0
		? []
		: [...unmatched, ...abrupt];
};

type Compared = {resource: Resource; difference: ResourceDifference};

const compareAll = (current: Resource[], wanted: Resource[]): Compared[] => {
	const currentByKey = new Map(
		current.map((resource) => [
			resourceKey(resource.kind, resource.name),
			resource,
		]),
	);
	return sortResources(wanted).map((resource) => ({
		resource,
		difference: compareResource(
			currentByKey.get(resourceKey(resource.kind, resource.name)),
			resource,
		),
	}));
};

const findAbsent = (current: Resource[], wanted: Resource[]): Resource[] => {
	const wantedKeys = new Set(
		wanted.map(({kind, name}) => resourceKey(kind, name)),
	);
	return sortResources(current).filter(
		({kind, name}) => !wantedKeys.has(resourceKey(kind, name)),
	);
};

/**
 * Plans how to bring the current resources to those of a file, for `diff` and `apply`. Resources that
 * the file does not contain are kept, and deleted only with an explicit `prune`.
 *
 * @example
 * ```ts
 * const plan = planApply(current, parseResources(yamlText), {prune: false});
 * ```
 */
export const planApply = (
	current: Resource[],
	wanted: Resource[],
	{prune = false}: {prune?: boolean} = {},
): ApplyPlan => {
	const absent = findAbsent(current, wanted);
	const deleted = prune ? absent : [];
	const kept = prune ? [] : absent;
	const compared = compareAll(current, wanted);
	return {
		differences: [
			...compared.map(({difference}) => difference),
			...absent.map(({kind, name}): ResourceDifference => ({
				kind,
				name,
				action: prune ? 'delete' : 'keep',
				fields: [],
			})),
		],
		changes: [
			...compared
				.filter(({difference}) => difference.action !== 'unchanged')
				.map(({resource}): ResourceChange => ({type: 'apply', resource})),
			...deleted.map(({kind, name}): ResourceChange => ({
				type: 'delete',
				kind,
				name,
			})),
		],
		warnings: findWarnings(current, [...wanted, ...kept], deleted),
	};
};
