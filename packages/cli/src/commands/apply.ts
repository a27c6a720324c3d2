import {planApply} from '@marjoramcove/configuration';
import {readCurrent, sendChanges} from '../change-resources.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {readResourceFiles} from '../read-resource-files.ts';

export type ApplyArguments = CommonArguments & {
	file: string[];
	prune?: boolean;
	baseRevision?: number;
	operationId?: string;
};

/** Applies the resources of files; those that do not differ are left alone. */
export const applyFiles = async (
	context: CommandContext,
	argv: ApplyArguments,
): Promise<void> => {
	const wanted = await readResourceFiles(context, argv.file);
	const current = await readCurrent(createClient(context, argv));
	const plan = planApply(current.resources, wanted, {
		prune: argv.prune ?? false,
	});
	for (const warning of plan.warnings) {
		context.output.writeError(`warning: ${warning}\n`);
	}

	// An operation id that is given must reach the daemon even when nothing differs, because the
	// outcome of the first attempt is stored under it.
	if (plan.changes.length === 0 && argv.operationId === undefined) {
		writeResult(
			context,
			argv,
			{revision: current.revision, changed: false},
			() => `Nothing differs from revision ${current.revision}.\n`,
		);
		return;
	}

	await sendChanges(context, argv, {
		baseRevision: argv.baseRevision ?? current.revision,
		changes:
			plan.changes.length > 0
				? plan.changes
				: wanted.map((resource) => ({type: 'apply', resource})),
		operationId: argv.operationId,
		plan,
	});
};
