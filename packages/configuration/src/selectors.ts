import type {
	Budget,
	Labels,
	ProgramLabelRuleResource,
	SelectorResource,
	UpstreamResource,
} from './resources.ts';

/** Model or service operation to which a call is addressed. */
export type CallTarget = {model: string} | {service: string; operation: string};

/** Whether `labels` has all required labels with equal values; an empty requirement matches everything. */
export const matchesLabels = (required: Labels, labels: Labels): boolean =>
	Object.entries(required).every(
		([key, value]) => Object.hasOwn(labels, key) && labels[key] === value,
	);

/**
 * Adds the labels of all matching rules to the labels of a program. Rules are matched against the
 * program's own labels only. An added label replaces the program's own one; if several rules add the
 * same label, the last rule by name wins.
 */
export const applyLabelRules = (
	labels: Labels,
	rules: ProgramLabelRuleResource[],
): Labels => {
	const added = rules
		.filter((rule) => matchesLabels(rule.spec.match, labels))
		.sort((a, b) => (a.name < b.name ? -1 : 1))
		.map((rule) => rule.spec.add);
	return Object.assign({}, labels, ...added) as Labels;
};

/** Whether an operator labelled the upstream as leaving. */
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
 * Limits each part of a requested budget to the smallest value that the selectors allow.
 *
 * @example
 * ```ts
 * limitBudget(requested, selectors).tokens <= requested.tokens; // true
 * ```
 */
export const limitBudget = (
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
