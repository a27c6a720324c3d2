import {RESOURCE_KINDS, type ResourceKind} from '@marjoramcove/configuration';
import {RefusedError, ValidationError} from '@marjoramcove/errors';
import {stringify} from 'yaml';
import type {AnyResource, ResourcesAnswer} from '../api-types.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {formatTable} from '../output.ts';
import {readResourceFiles} from '../read-resource-files.ts';
import {readCurrent, sendChanges} from '../change-resources.ts';

/**
 * Finds the kind of a resource from what an operator types: `selector`, `selectors`, `Selector`.
 *
 * @throws ValidationError for another word.
 */
export const parseKind = (text: string): ResourceKind => {
	const wanted = text.toLowerCase().replaceAll('-', '').replace(/s$/v, '');
	const kind = RESOURCE_KINDS.find((entry) => entry.toLowerCase() === wanted);
	if (!kind) {
		throw new ValidationError(
			`The kind ${text} is unknown.`,
			`Known kinds: ${RESOURCE_KINDS.join(', ')}.`,
		);
	}

	return kind;
};

const describeSpec = ({kind, spec}: AnyResource): string => {
	if (kind === 'Upstream') {
		return `${String(spec.type)} at ${String(spec.address)}`;
	}

	return JSON.stringify(spec);
};

const formatResources = (resources: AnyResource[]): string =>
	formatTable(
		[
			['KIND', (row) => row.kind],
			['NAME', (row) => row.name],
			['LABELS', (row) => row.labels],
			['SPEC', describeSpec],
		],
		resources,
	);

/** Shows resources as a table, YAML (which apply accepts) or JSON. */
export const getResources = async (
	context: CommandContext,
	argv: CommonArguments & {kind?: string; name?: string},
): Promise<void> => {
	const kind = argv.kind === undefined ? undefined : parseKind(argv.kind);
	const client = createClient(context, argv);
	const answer = await client.read<ResourcesAnswer>(
		`/v1/operator/resources${kind ? `?kind=${kind}` : ''}`,
	);
	const resources = answer.resources.filter(
		(resource) =>
			(kind === undefined || resource.kind === kind) &&
			(argv.name === undefined || resource.name === argv.name),
	);
	if (argv.name !== undefined && resources.length === 0) {
		throw new RefusedError(`No ${kind} is named ${argv.name}.`, {
			reason: 'resource-unknown',
			hint: `List them with marjoramcove get ${kind}.`,
		});
	}

	if (argv.output === 'yaml') {
		context.output.write(
			resources.map((resource) => stringify(resource)).join('---\n'),
		);
		return;
	}

	writeResult(
		context,
		argv,
		{...answer, resources},
		() => `${formatResources(resources)}Revision ${answer.revision}.\n`,
	);
};

/** Deletes resources by kind and name or those that files name. */
export const deleteResources = async (
	context: CommandContext,
	argv: CommonArguments & {
		kind?: string;
		name?: string;
		file?: string[];
		baseRevision?: number;
		operationId?: string;
	},
): Promise<void> => {
	const targets = await readTargets(context, argv);
	const current = await readCurrent(createClient(context, argv));
	// A repeated operation must reach the daemon even when the resource is gone.
	if (argv.operationId === undefined) {
		for (const target of targets) {
			const found = current.resources.some(
				({kind, name}) => kind === target.kind && name === target.name,
			);
			if (!found) {
				throw new RefusedError(`No ${target.kind} is named ${target.name}.`, {
					reason: 'resource-unknown',
					hint: `List them with marjoramcove get ${target.kind}.`,
				});
			}
		}
	}

	await sendChanges(context, argv, {
		baseRevision: argv.baseRevision ?? current.revision,
		changes: targets.map((target) => ({type: 'delete', ...target})),
		operationId: argv.operationId,
	});
};

const readTargets = async (
	context: CommandContext,
	argv: {kind?: string; name?: string; file?: string[]},
): Promise<Array<{kind: ResourceKind; name: string}>> => {
	if (argv.file && argv.file.length > 0) {
		const resources = await readResourceFiles(context, argv.file);
		return resources.map(({kind, name}) => ({kind, name}));
	}

	if (argv.kind === undefined || argv.name === undefined) {
		throw new ValidationError(
			'Neither a kind and a name nor a file is given.',
			'Run marjoramcove delete KIND NAME, or marjoramcove delete -f FILE.',
		);
	}

	return [{kind: parseKind(argv.kind), name: argv.name}];
};
