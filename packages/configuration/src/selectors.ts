import type {
	Budget,
	Labels,
	ProgramLabelRuleResource,
	SelectorResource,
	UpstreamResource,
} from './resources.ts';

/** What a call addresses. */
export type CallTarget = {model: string} | {service: string; operation: string};

/** Whether labels contain all wanted labels with equal values; no wanted labels match everything. */
export const matchesLabels = (wanted: Labels, labels: Labels): boolean =>
	Object.entries(wanted).every(
		([key, value]) => Object.hasOwn(labels, key) && labels[key] === value,
	);

/**
 * Labels of a program with those that the operators' rules add. Rules look only at the program's own
 * labels. An added label replaces the program's own one; of several rules, the last by name wins.
 */
export const addRuleLabels = (
	labels: Labels,
	rules: ProgramLabelRuleResource[],
): Labels => {
	const added = rules
		.filter((rule) => matchesLabels(rule.spec.match, labels))
		.sort((a, b) => (a.name < b.name ? -1 : 1))
		.map((rule) => rule.spec.add);
	return Object.assign({}, labels, ...added) as Labels;
};

/** Whether an operator marked the upstream as leaving. */
export const isLabelledLeaving = (upstream: UpstreamResource): boolean =>
	upstream.labels.leaving === 'true';

/** Whether an upstream serves a model, or an operation of a service. */
export const servesTarget = (
	{spec}: UpstreamResource,
	target: CallTarget,
): boolean =>
	'model' in target
		? spec.type === 'engine' && spec.models.includes(target.model)
		: spec.type === 'service' &&
			spec.service === target.service &&
			Object.hasOwn(spec.operations, target.operation);

/**
 * Smallest budget of the selectors and the request, for each of its parts.
 *
 * @example
 * ```ts
 * boundBudget(requested, selectors).tokens <= requested.tokens; // true
 * ```
 */
export const boundBudget = (
	requested: Budget,
	selectors: SelectorResource[],
): Budget => {
	const smallest = (part: keyof Budget): number =>
		Math.min(
			requested[part],
			...selectors.map(
				({spec}) => spec.budget?.[part] ?? Number.POSITIVE_INFINITY,
			),
		);
	return {
		tokens: smallest('tokens'),
		turns: smallest('turns'),
		wallTimeMs: smallest('wallTimeMs'),
	};
};
