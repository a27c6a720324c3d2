import {planApply} from '@marjoramcove/configuration';
import {readCurrentResources} from '../change-resources.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {formatDifferences} from '../format-differences.ts';
import {readResourceFiles} from '../read-resource-files.ts';

/** Shows the changes that `apply` would make. */
export const diffFiles = async (
	context: CommandContext,
	argv: CommonArguments & {file: string[]; prune?: boolean},
): Promise<void> => {
	const desired = await readResourceFiles(context, argv.file);
	const current = await readCurrentResources(createClient(context, argv));
	const plan = planApply(current.resources, desired, {
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
