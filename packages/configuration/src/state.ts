import type {ConfigurationDigest, ResourceChange} from './commands.ts';
import {encodeCanonical, hashText} from './hash.ts';
import type {Resource, ResourceKind} from './resources.ts';
import {RESOURCE_KINDS} from './schemas.ts';

/** Number of operations whose first outcome is kept. */
export const KEPT_OPERATIONS = 10_000;

/** Number of single changes kept for daemons that are behind; older ones fetch everything. */
export const KEPT_CHANGES = 5000;

/** Owning region of all resources until there are several. */
const REGION = 'default';

/** First outcome of an operation. The resources of a conflict are read when it is answered again. */
export type RecordedOutcome =
	| {outcome: 'applied'; revision: number; hash: string}
	| {outcome: 'conflict'}
	| {outcome: 'invalid'; message: string};

export type RecordedOperation = {
	/** Hash of the change, to tell a resent operation from a reused id. */
	commandHash: string;
	result: RecordedOutcome;
};

export type ConfigurationState = {
	revision: number;
	/** Chain hash over all changes since the empty configuration. */
	hash: string;
	/** Resources by `<region>/<kind>/<name>`. */
	resources: Map<string, Resource>;
	/** Recent changes, the oldest first, each with the revision that it led to. */
	recentChanges: Array<{revision: number; change: ResourceChange}>;
	/** First outcomes of the latest operations, the oldest first. */
	operations: Map<string, RecordedOperation>;
	fencing: {number: number; term: number; daemonId: string};
};

/** Hash of the configuration before the first change. */
export const EMPTY_HASH = hashText('');

/** Creates an empty configuration at revision 0. */
export const createConfigurationState = (): ConfigurationState => ({
	revision: 0,
	hash: EMPTY_HASH,
	resources: new Map(),
	recentChanges: [],
	operations: new Map(),
	fencing: {number: 0, term: 0, daemonId: ''},
});

/** Key of a resource; it begins with the owning region. */
export const resourceKey = (kind: ResourceKind, name: string): string =>
	`${REGION}/${kind}/${name}`;

/** Key of the resource that a change is about. */
export const changedKey = (change: ResourceChange): string =>
	change.type === 'apply'
		? resourceKey(change.resource.kind, change.resource.name)
		: resourceKey(change.kind, change.name);

/** Applies one change to a map of resources. */
export const applyChange = (
	resources: Map<string, Resource>,
	change: ResourceChange,
): void => {
	if (change.type === 'apply') {
		resources.set(changedKey(change), change.resource);
	} else {
		resources.delete(changedKey(change));
	}
};

/**
 * Chain hash after a change. It is computed per change and not per revision, so that a daemon can
 * check a list of changes that spans several revisions.
 */
export const extendHash = (hash: string, change: ResourceChange): string =>
	hashText(hash + encodeCanonical(change));

/** Sorts resources by kind and name. */
export const sortResources = (resources: Iterable<Resource>): Resource[] =>
	[...resources].sort(
		(a, b) =>
			RESOURCE_KINDS.indexOf(a.kind) - RESOURCE_KINDS.indexOf(b.kind) ||
			(a.name < b.name ? -1 : 1),
	);

/** Revision and hash of a configuration. */
export const configurationDigest = (
	state: ConfigurationState,
): ConfigurationDigest => ({revision: state.revision, hash: state.hash});

/**
 * Lists the resources by kind and name.
 *
 * @example
 * ```ts
 * listResources(state, 'Upstream').map((upstream) => upstream.name);
 * ```
 */
export const listResources = (
	state: ConfigurationState,
	kind?: ResourceKind,
): Resource[] =>
	sortResources(
		[...state.resources.values()].filter(
			(resource) => kind === undefined || resource.kind === kind,
		),
	);

/** What a daemon at an older revision needs to catch up. */
export type ConfigurationUpdate =
	| {since: number; changes: ResourceChange[]; digest: ConfigurationDigest}
	| {full: Resource[]; digest: ConfigurationDigest};

/**
 * Changes after a revision, or all resources when the revision is too old or unknown.
 *
 * @example
 * ```ts
 * view.applyUpdate(changesSince(state, view.digest.revision));
 * ```
 */
export const changesSince = (
	state: ConfigurationState,
	revision: number,
): ConfigurationUpdate => {
	const digest = configurationDigest(state);
	const changes = state.recentChanges.filter(
		(entry) => entry.revision > revision,
	);
	const firstKept = state.recentChanges[0]?.revision ?? state.revision + 1;
	// A revision may be partly dropped, so its successor is the first one that is known to be whole.
	const isCovered =
		revision === state.revision ||
		(state.recentChanges.length < KEPT_CHANGES
			? revision >= 0 && revision < state.revision
			: revision >= firstKept && revision < state.revision);
	return isCovered
		? {since: revision, changes: changes.map((entry) => entry.change), digest}
		: {full: listResources(state), digest};
};
