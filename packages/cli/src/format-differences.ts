import type {ApplyPlan, ResourceDifference} from '@marjoramcove/configuration';

const actionSymbols: Record<ResourceDifference['action'], string> = {
	create: '+',
	update: '~',
	delete: '-',
	unchanged: ' ',
	keep: ' ',
};

/** Formats differences with one line per resource and per differing field. */
export const formatDifferences = (plan: ApplyPlan): string =>
	plan.differences
		.filter(({action}) => action !== 'unchanged' && action !== 'keep')
		.map(({action, kind, name, fields}) => {
			const lines = fields.map(
				({path, before, after}) =>
					`    ${path}: ${JSON.stringify(before) ?? 'absent'} -> ${JSON.stringify(after) ?? 'absent'}\n`,
			);
			return `${actionSymbols[action]} ${kind} ${name}\n${lines.join('')}`;
		})
		.join('');
