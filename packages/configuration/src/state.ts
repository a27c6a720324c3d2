import type {ConfigurationDigest, ResourceChange} from './commands.ts';
import {encodeCanonical, hashText} from './hash.ts';
import type {Resource, ResourceKind} from './resources.ts';
import {RESOURCE_KINDS} from './schemas.ts';

/** Maximum number of operations whose first outcome is recorded, to answer them when they are resent. */
export const MAX_RECORDED_OPERATIONS = 10_000;

/** Maximum number of recorded changes. Daemons that are further behind fetch all resources. */
export const MAX_RECENT_CHANGES = 5000;

/** Region that owns all resources as long as there is only one. */
const REGION = 'default';

/**
 * Outcome of the first execution of an operation. The current resources of a conflict are not recorded;
 * they are read each time the operation is answered.
 */
export type RecordedOutcome =
	| {outcome: 'applied'; revision: number; hash: string}
	| {outcome: 'conflict'}
	| {outcome: 'invalid'; message: string};

export type RecordedOperation = {
	/** Hash of the change, to distinguish a resent operation from a reused operation id. */
	commandHash: string;
	result: RecordedOutcome;
};

export type ConfigurationState = {
	revision: number;
	/** Chain hash over all changes since the empty configuration. */
	hash: string;
	/** Resources keyed by `<region>/<kind>/<name>`. */
	resources: Map<string, Resource>;
	/** Recent changes, oldest first, each with the revision that it produced. */
	recentChanges: Array<{revision: number; change: ResourceChange}>;
	/** Outcomes of the most recent operations, oldest first. */
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

/** Key of the resource that a change affects. */
export const changedResourceKey = (change: ResourceChange): string =>
	change.type === 'apply'
		? resourceKey(change.resource.kind, change.resource.name)
		: resourceKey(change.kind, change.name);

/** Applies one change to a map of resources. */
export const applyChange = (
	resources: Map<string, Resource>,
	change: ResourceChange,
): void => {
	if (change.type === 'apply') {
		resources.set(changedResourceKey(change), change.resource);
	} else {
		resources.delete(changedResourceKey(change));
	}
};

/**
 * Returns the chain hash after a change. It is computed per change rather than per revision, so that a
 * daemon can verify a list of changes that spans several revisions.
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
 * Lists the resources, sorted by kind and name.
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

/** Update that brings a daemon from an older revision to the current one. */
export type ConfigurationUpdate =
	| {since: number; changes: ResourceChange[]; digest: ConfigurationDigest}
	| {full: Resource[]; digest: ConfigurationDigest};

/**
 * Returns the changes after a revision, or all resources if the revision is too old or unknown.
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
	const oldestRecorded = state.recentChanges[0]?.revision ?? state.revision + 1;
	// Some changes of the oldest recorded revision may have been dropped; only later ones are complete.
	const isCovered =
		revision === state.revision ||
		(state.recentChanges.length < MAX_RECENT_CHANGES
			? revision >= 0 && revision < state.revision
			: revision >= oldestRecorded && revision < state.revision);
	return isCovered
		? {since: revision, changes: changes.map((entry) => entry.change), digest}
		: {full: listResources(state), digest};
};
