import {planApply} from '@marjoramcove/configuration';
import {readCurrentResources, sendChanges} from '../change-resources.ts';
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

/** Applies the resources in files; unchanged resources are not sent. */
export const applyFiles = async (
	context: CommandContext,
	argv: ApplyArguments,
): Promise<void> => {
	const desired = await readResourceFiles(context, argv.file);
	const current = await readCurrentResources(createClient(context, argv));
	const plan = planApply(current.resources, desired, {
		prune: argv.prune ?? false,
	});
	for (const warning of plan.warnings) {
		context.output.writeError(`warning: ${warning}\n`);
	}

	// With an operation id, the request is sent even when nothing differs, because the daemon stores the
	// outcome of the first attempt under that id.
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
				: desired.map((resource) => ({type: 'apply', resource})),
		operationId: argv.operationId,
		plan,
	});
};
