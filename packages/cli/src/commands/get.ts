import {RESOURCE_KINDS, type ResourceKind} from '@marjoramcove/configuration';
import {RefusedError, ValidationError} from '@marjoramcove/errors';
import {stringify} from 'yaml';
import type {AnyResource, ResourcesResponse} from '../api-types.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {formatTable} from '../output.ts';
import {readResourceFiles} from '../read-resource-files.ts';
import {readCurrentResources, sendChanges} from '../change-resources.ts';

/**
 * Parses a resource kind in any form that an operator may type: `selector`, `selectors`, `Selector`.
 *
 * @throws ValidationError for an unknown kind.
 */
export const parseResourceKind = (text: string): ResourceKind => {
	const normalized = text.toLowerCase().replaceAll('-', '').replace(/s$/v, '');
	const kind = RESOURCE_KINDS.find(
		(entry) => entry.toLowerCase() === normalized,
	);
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

/** Shows resources as a table, as JSON, or as YAML that `apply` accepts. */
export const getResources = async (
	context: CommandContext,
	argv: CommonArguments & {kind?: string; name?: string},
): Promise<void> => {
	const kind =
		argv.kind === undefined ? undefined : parseResourceKind(argv.kind);
	const client = createClient(context, argv);
	const response = await client.getJson<ResourcesResponse>(
		`/v1/operator/resources${kind ? `?kind=${kind}` : ''}`,
	);
	const resources = response.resources.filter(
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
		{...response, resources},
		() => `${formatResources(resources)}Revision ${response.revision}.\n`,
	);
};

/** Deletes one resource by kind and name, or all resources in files. */
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
	const current = await readCurrentResources(createClient(context, argv));
	// With an operation id, the request is sent even when the resource no longer exists, because the
	// daemon stores the outcome of the first attempt under that id.
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

	return [{kind: parseResourceKind(argv.kind), name: argv.name}];
};
