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
	addRuleLabels,
	boundBudget,
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
 * What an update did. After `gap`, the daemon fetches the changes since its own revision; `old` and
 * `current` need nothing.
 */
export type UpdateOutcome = 'applied' | 'current' | 'gap' | 'old';

/** Lists of upstreams that are kept; callers choose the target, so their number needs a bound. */
const LISTS_KEPT = 256;

const isAllowed = (
	upstream: UpstreamResource,
	selectors: SelectorResource[],
	target: CallTarget,
	{includeLeaving = false}: {includeLeaving?: boolean},
): boolean =>
	servesTarget(upstream, target) &&
	(includeLeaving || !isLabelledLeaving(upstream)) &&
	selectors.some(({spec}) => matchesLabels(spec.upstreams, upstream.labels));

/**
 * Read-only copy of the configuration on a daemon. Its revision never goes back.
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
	/** Results of `upstreamsFor` by the names of the selectors and the target. */
	readonly #lists = new Map<string, readonly UpstreamResource[]>();

	/** Revision and hash of this copy. */
	get digest(): ConfigurationDigest {
		return {...this.#digest};
	}

	/** All upstreams, by name. */
	get upstreams(): readonly UpstreamResource[] {
		return this.#upstreams;
	}

	/**
	 * Applies an update from the configuration leader.
	 *
	 * @throws InvariantViolationError when the same revision has another hash, or when the changes do
	 * not lead to the hash of the update.
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
		this.#index();
		return 'applied';
	}

	/**
	 * Whether this copy is at the revision of a digest or a later one.
	 *
	 * @throws InvariantViolationError when the same revision has another hash.
	 */
	covers(digest: ConfigurationDigest): boolean {
		this.#checkDigest(digest);
		return digest.revision <= this.#digest.revision;
	}

	/** The resource with this kind and name. */
	find(kind: ResourceKind, name: string): Resource | undefined {
		return this.#resources.get(resourceKey(kind, name));
	}

	/** Selectors that match a program, the highest priority first, then by name. */
	selectorsFor(programLabels: Labels): SelectorResource[] {
		const labels = addRuleLabels(programLabels, this.#rules);
		return this.#selectors.filter(({spec}) =>
			matchesLabels(spec.programs, labels),
		);
	}

	/**
	 * Upstreams on which a call of a program may run: a selector matches both, the upstream serves the
	 * target, and no operator marked it as leaving (unless `includeLeaving` is set). The list is kept
	 * until the next update, so that the cost of a call does not grow with the number of upstreams.
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
		let list = this.#lists.get(key);
		if (!list) {
			list = this.#upstreams.filter((upstream) =>
				isAllowed(upstream, selectors, target, options),
			);
			if (this.#lists.size >= LISTS_KEPT) {
				this.#lists.clear();
			}

			this.#lists.set(key, list);
		}

		return list;
	}

	/** The upstream with this name if {@link upstreamsFor} lists it. */
	upstreamFor(
		name: UpstreamId,
		programLabels: Labels,
		target: CallTarget,
		options: {includeLeaving?: boolean} = {},
	): UpstreamResource | undefined {
		const upstream = this.find('Upstream', name);
		return upstream?.kind === 'Upstream' &&
			isAllowed(upstream, this.selectorsFor(programLabels), target, options)
			? upstream
			: undefined;
	}

	/** Budget that a program may have; undefined when no selector matches it. */
	budgetFor(programLabels: Labels, requested: Budget): Budget | undefined {
		const selectors = this.selectorsFor(programLabels);
		return selectors.length === 0
			? undefined
			: boundBudget(requested, selectors);
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

	#index(): void {
		this.#lists.clear();
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
