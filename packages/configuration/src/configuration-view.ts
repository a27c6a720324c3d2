import {assertInvariant} from '@marjoramcove/errors';
import type {UpstreamId} from '@marjoramcove/types';
import type {ConfigurationDigest, ResourceChange} from './commands.ts';
import type {
	Budget,
	Labels,
	ProgramLabelRuleResource,
	Resource,
	ResourceKind,
	SelectorResource,
	UpstreamResource,
} from './resources.ts';
import {
	applyLabelRules,
	limitBudget,
	type CallTarget,
	isLabelledLeaving,
	matchesLabels,
	servesTarget,
} from './selectors.ts';
import {
	applyChange,
	type ConfigurationUpdate,
	EMPTY_HASH,
	extendHash,
	resourceKey,
	sortResources,
} from './state.ts';

/**
 * Result of applying an update. After `gap`, the daemon fetches the changes since its own revision;
 * `old` and `current` require no action.
 */
export type UpdateOutcome = 'applied' | 'current' | 'gap' | 'old';

/**
 * Maximum number of cached upstream lists. A limit is needed because callers choose the target,
 * which is part of the key.
 */
const MAX_CACHED_LISTS = 256;

const isEligible = (
	upstream: UpstreamResource,
	selectors: SelectorResource[],
	target: CallTarget,
	{includeLeaving = false}: {includeLeaving?: boolean},
): boolean =>
	servesTarget(upstream, target) &&
	(includeLeaving || !isLabelledLeaving(upstream)) &&
	selectors.some(({spec}) => matchesLabels(spec.upstreams, upstream.labels));

/**
 * Read-only copy of the configuration on a daemon. Its revision never decreases.
 *
 * @example
 * ```ts
 * const view = new ConfigurationView();
 * view.applyUpdate(changesSince(state, view.digest.revision));
 * view.upstreamsFor({agent: 'entry-coaching'}, {model: 'agent-large'});
 * ```
 */
export class ConfigurationView {
	#digest: ConfigurationDigest = {revision: 0, hash: EMPTY_HASH};
	#resources = new Map<string, Resource>();
	#upstreams: UpstreamResource[] = [];
	#selectors: SelectorResource[] = [];
	#rules: ProgramLabelRuleResource[] = [];
	/** Results of `upstreamsFor`, keyed by the names of the selectors, the target and the options. */
	readonly #listCache = new Map<string, readonly UpstreamResource[]>();

	/** Revision and hash of this copy. */
	get digest(): ConfigurationDigest {
		return {...this.#digest};
	}

	/** All upstreams, sorted by name. */
	get upstreams(): readonly UpstreamResource[] {
		return this.#upstreams;
	}

	/**
	 * Applies an update from the configuration leader.
	 *
	 * @throws InvariantViolationError when the same revision has a different hash, or when the changes
	 * do not produce the hash of the update.
	 */
	applyUpdate(update: ConfigurationUpdate): UpdateOutcome {
		this.#checkDigest(update.digest);
		if (update.digest.revision <= this.#digest.revision) {
			return update.digest.revision === this.#digest.revision
				? 'current'
				: 'old';
		}

		if ('full' in update) {
			this.#resources = new Map(
				update.full.map((resource) => [
					resourceKey(resource.kind, resource.name),
					resource,
				]),
			);
		} else if (update.since === this.#digest.revision) {
			this.#applyChanges(update.changes, update.digest);
		} else {
			return 'gap';
		}

		this.#digest = {...update.digest};
		this.#rebuildIndex();
		return 'applied';
	}

	/**
	 * Whether this copy is at the revision of a digest or a later one.
	 *
	 * @throws InvariantViolationError when the same revision has a different hash.
	 */
	covers(digest: ConfigurationDigest): boolean {
		this.#checkDigest(digest);
		return digest.revision <= this.#digest.revision;
	}

	/** Returns the resource with this kind and name. */
	find(kind: ResourceKind, name: string): Resource | undefined {
		return this.#resources.get(resourceKey(kind, name));
	}

	/** Returns the selectors that match a program, sorted by descending priority and then by name. */
	selectorsFor(programLabels: Labels): SelectorResource[] {
		const labels = applyLabelRules(programLabels, this.#rules);
		return this.#selectors.filter(({spec}) =>
			matchesLabels(spec.programs, labels),
		);
	}

	/**
	 * Returns the upstreams on which a call of a program may run: a selector matches both the program and
	 * the upstream, the upstream serves the target, and no operator labelled it as leaving (unless
	 * `includeLeaving` is set). The list is cached until the next update, so that the cost of a call does
	 * not grow with the number of upstreams.
	 */
	upstreamsFor(
		programLabels: Labels,
		target: CallTarget,
		options: {includeLeaving?: boolean} = {},
	): readonly UpstreamResource[] {
		const selectors = this.selectorsFor(programLabels);
		const key = JSON.stringify([
			options.includeLeaving ?? false,
			target,
			...selectors.map(({name}) => name),
		]);
		let list = this.#listCache.get(key);
		if (!list) {
			list = this.#upstreams.filter((upstream) =>
				isEligible(upstream, selectors, target, options),
			);
			if (this.#listCache.size >= MAX_CACHED_LISTS) {
				this.#listCache.clear();
			}

			this.#listCache.set(key, list);
		}

		return list;
	}

	/** Returns the upstream with this name if {@link upstreamsFor} includes it. */
	upstreamFor(
		name: UpstreamId,
		programLabels: Labels,
		target: CallTarget,
		options: {includeLeaving?: boolean} = {},
	): UpstreamResource | undefined {
		const upstream = this.find('Upstream', name);
		return upstream?.kind === 'Upstream' &&
			isEligible(upstream, this.selectorsFor(programLabels), target, options)
			? upstream
			: undefined;
	}

	/** Returns the budget that a program may have, or undefined if no selector matches it. */
	budgetFor(programLabels: Labels, requested: Budget): Budget | undefined {
		const selectors = this.selectorsFor(programLabels);
		return selectors.length === 0
			? undefined
			: limitBudget(requested, selectors);
	}

	#checkDigest(digest: ConfigurationDigest): void {
		assertInvariant(
			digest.revision !== this.#digest.revision ||
				digest.hash === this.#digest.hash,
			'same-revision-same-hash',
			{received: digest, own: this.#digest},
		);
	}

	#applyChanges(changes: ResourceChange[], digest: ConfigurationDigest): void {
		let {hash} = this.#digest;
		for (const change of changes) {
			hash = extendHash(hash, change);
		}

		assertInvariant(
			hash === digest.hash,
			'changes-lead-to-hash',
			{received: digest, own: this.#digest},
			`computed hash ${hash}`,
		);
		for (const change of changes) {
			applyChange(this.#resources, change);
		}
	}

	#rebuildIndex(): void {
		this.#listCache.clear();
		const sorted = sortResources(this.#resources.values());
		this.#upstreams = sorted.filter((resource) => resource.kind === 'Upstream');
		this.#rules = sorted.filter(
			(resource) => resource.kind === 'ProgramLabelRule',
		);
		this.#selectors = sorted
			.filter((resource) => resource.kind === 'Selector')
			.sort((a, b) => b.spec.priority - a.spec.priority);
	}
}
