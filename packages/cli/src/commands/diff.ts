import {planApply} from '@marjoramcove/configuration';
import {readCurrent} from '../change-resources.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {formatDifferences} from '../format-differences.ts';
import {readResourceFiles} from '../read-resource-files.ts';

/** Shows what apply would change. */
export const diffFiles = async (
	context: CommandContext,
	argv: CommonArguments & {file: string[]; prune?: boolean},
): Promise<void> => {
	const wanted = await readResourceFiles(context, argv.file);
	const current = await readCurrent(createClient(context, argv));
	const plan = planApply(current.resources, wanted, {
		prune: argv.prune ?? false,
	});
	writeResult(context, argv, {revision: current.revision, ...plan}, () => {
		const text = formatDifferences(plan);
		const warnings = plan.warnings.map((warning) => `warning: ${warning}\n`);
		return text === ''
			? `Nothing differs from revision ${current.revision}.\n`
			: `${text}${warnings.join('')}`;
	});
};
