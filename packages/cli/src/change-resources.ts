import {randomUUID} from 'node:crypto';
import type {
	ApplyPlan,
	Resource,
	ResourceChange,
} from '@marjoramcove/configuration';
import type {ApiClient} from './api-client.ts';
import type {ChangesResponse, ResourcesResponse} from './api-types.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from './command-context.ts';
import {formatDifferences} from './format-differences.ts';
import {formatTable} from './output.ts';
import {showProgress} from './show-progress.ts';

const CHANGE_TIMEOUT_MS = 40_000;

/** Reads the current resources and their revision. */
export const readCurrentResources = async (
	client: ApiClient,
): Promise<{revision: number; resources: Resource[]}> => {
	const response = await client.getJson<ResourcesResponse>(
		'/v1/operator/resources',
	);
	return {
		revision: response.revision,
		resources: response.resources as unknown as Resource[],
	};
};

/**
 * Sends a change and shows the new revision and the daemons that have applied it. When the response is
 * lost, the request is retried with the same operation id, so that the change is applied only once.
 */
export const sendChanges = async (
	context: CommandContext,
	argv: CommonArguments,
	change: {
		baseRevision: number;
		changes: ResourceChange[];
		operationId?: string;
		plan?: ApplyPlan;
	},
): Promise<void> => {
	const operationId = change.operationId ?? `cli-${randomUUID()}`;
	const client = createClient(context, argv);
	const response = await showProgress(
		context.output,
		() => 'waiting until the change is in force on all daemons',
		async () =>
			client.requestJson<ChangesResponse>({
				method: 'POST',
				path: '/v1/operator/changes',
				body: {
					operationId,
					baseRevision: change.baseRevision,
					changes: change.changes,
				},
				idempotent: true,
				timeoutMs: CHANGE_TIMEOUT_MS,
			}),
	);
	writeResult(
		context,
		argv,
		{operationId, ...response},
		() =>
			`${change.plan ? formatDifferences(change.plan) : ''}${formatChangeResult(response)}`,
	);
};

const formatChangeResult = (response: ChangesResponse): string => {
	const repeated = response.repeated ? ' (the operation had run before)' : '';
	const pendingDaemons = response.daemons.filter(
		({state}) => state === 'pending',
	);
	const summary =
		pendingDaemons.length === 0
			? `Revision ${response.revision} is in force${repeated}.`
			: `Revision ${response.revision} is accepted${repeated}, but not confirmed by ${pendingDaemons.map(({daemonId}) => daemonId).join(', ')}.`;
	return `${summary}\n${formatTable(
		[
			['DAEMON', (row) => row.daemonId],
			['STATE', (row) => row.state],
			['REVISION', (row) => row.revision],
		],
		response.daemons,
	)}`;
};
