/** Desired or reported state of an engine. */
export type EngineState = {
	models: string[];
	adapters: string[];
	version: string;
	role: 'prefill' | 'decode' | 'mixed';
};

const hasSameItems = (a: string[], b: string[]): boolean =>
	new Set(a).size === new Set(b).size && a.every((item) => b.includes(item));

/** Whether the reported state matches the desired one; the order of models and adapters does not matter. */
export const matchesDesiredState = (
	report: EngineState,
	desired: EngineState,
): boolean =>
	hasSameItems(report.models, desired.models) &&
	hasSameItems(report.adapters, desired.adapters) &&
	report.version === desired.version &&
	report.role === desired.role;

/**
 * Lists the weights that the engine lacks, models before adapters.
 *
 * @example
 * ```ts
 * findMissingWeights(report, desired); // ['agent-large']
 * ```
 */
export const findMissingWeights = (
	report: EngineState,
	desired: EngineState,
): string[] => [
	...desired.models.filter((model) => !report.models.includes(model)),
	...desired.adapters.filter((adapter) => !report.adapters.includes(adapter)),
];
