import type {ChangeCommand, ResourceChange} from './commands.ts';
import {encodeCanonical} from './hash.ts';
import type {Resource, ResourceKind} from './resources.ts';
import {isLabelledLeaving, matchesLabels} from './selectors.ts';
import {resourceKey, sortResources} from './state.ts';

/** Difference between the current and the desired version of a resource. */
export type ResourceDifference = {
	kind: ResourceKind;
	name: string;
	action: 'create' | 'update' | 'delete' | 'unchanged' | 'keep';
	/** Paths whose values differ, for an update. */
	fields: Array<{path: string; before: unknown; after: unknown}>;
};

export type ApplyPlan = {
	/** One entry per resource of the file and, with or without `prune`, per resource absent from it. */
	differences: ResourceDifference[];
	/** Changes for a {@link ChangeCommand}; empty when nothing differs. */
	changes: ChangeCommand['changes'];
	/** Problems that do not prevent the change, such as a selector that matches no upstream. */
	warnings: string[];
};

const isPlainObject = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

/** Returns the paths at which two values differ; arrays are compared as a whole. */
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

/** Warns of selectors that match no upstream, and of deleted upstreams that are not labelled as leaving. */
const findWarnings = (
	current: Resource[],
	next: Resource[],
	deleted: Resource[],
): string[] => {
	const upstreams = next.filter((resource) => resource.kind === 'Upstream');
	const unmatchedSelectors = next
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
	const notLeaving = deleted
		.filter((resource) => resource.kind === 'Upstream')
		.filter((upstream) => !isLabelledLeaving(upstream))
		.map(
			({name}) =>
				`Upstream ${name} would be deleted without the label leaving: "true" first.`,
		);
	return current.length === 0 && next.length === 0
		? []
		: [...unmatchedSelectors, ...notLeaving];
};

type ComparedResource = {resource: Resource; difference: ResourceDifference};

const compareResources = (
	current: Resource[],
	desired: Resource[],
): ComparedResource[] => {
	const currentByKey = new Map(
		current.map((resource) => [
			resourceKey(resource.kind, resource.name),
			resource,
		]),
	);
	return sortResources(desired).map((resource) => ({
		resource,
		difference: compareResource(
			currentByKey.get(resourceKey(resource.kind, resource.name)),
			resource,
		),
	}));
};

const findAbsent = (current: Resource[], desired: Resource[]): Resource[] => {
	const desiredKeys = new Set(
		desired.map(({kind, name}) => resourceKey(kind, name)),
	);
	return sortResources(current).filter(
		({kind, name}) => !desiredKeys.has(resourceKey(kind, name)),
	);
};

/**
 * Plans the changes that turn the current resources into those of a file, for `diff` and `apply`.
 * Resources that are absent from the file are kept unless `prune` is set.
 *
 * @example
 * ```ts
 * const plan = planApply(current, parseResources(yamlText), {prune: false});
 * ```
 */
export const planApply = (
	current: Resource[],
	desired: Resource[],
	{prune = false}: {prune?: boolean} = {},
): ApplyPlan => {
	const absent = findAbsent(current, desired);
	const deleted = prune ? absent : [];
	const kept = prune ? [] : absent;
	const compared = compareResources(current, desired);
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
		warnings: findWarnings(current, [...desired, ...kept], deleted),
	};
};
