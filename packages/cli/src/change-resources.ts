import {randomUUID} from 'node:crypto';
import type {
	ApplyPlan,
	Resource,
	ResourceChange,
} from '@marjoramcove/configuration';
import type {ApiClient} from './api-client.ts';
import type {ChangesAnswer, ResourcesAnswer} from './api-types.ts';
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
export const readCurrent = async (
	client: ApiClient,
): Promise<{revision: number; resources: Resource[]}> => {
	const answer = await client.read<ResourcesAnswer>('/v1/operator/resources');
	return {
		revision: answer.revision,
		resources: answer.resources as unknown as Resource[],
	};
};

/**
 * Sends a change and shows the revision that came into force and on which daemons. A lost answer is
 * followed by the same operation id, which has no second effect.
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
	const answer = await showProgress(
		context.output,
		() => 'waiting until the change is in force on all daemons',
		async () =>
			client.json<ChangesAnswer>({
				method: 'POST',
				path: '/v1/operator/changes',
				body: {
					operationId,
					baseRevision: change.baseRevision,
					changes: change.changes,
				},
				repeatable: true,
				timeoutMs: CHANGE_TIMEOUT_MS,
			}),
	);
	writeResult(
		context,
		argv,
		{operationId, ...answer},
		() =>
			`${change.plan ? formatDifferences(change.plan) : ''}${formatOutcome(answer)}`,
	);
};

const formatOutcome = (answer: ChangesAnswer): string => {
	const repeated = answer.repeated ? ' (the operation had run before)' : '';
	const behind = answer.daemons.filter(({state}) => state === 'pending');
	const summary =
		behind.length === 0
			? `Revision ${answer.revision} is in force${repeated}.`
			: `Revision ${answer.revision} is accepted${repeated}, but not confirmed by ${behind.map(({daemonId}) => daemonId).join(', ')}.`;
	return `${summary}\n${formatTable(
		[
			['DAEMON', (row) => row.daemonId],
			['STATE', (row) => row.state],
			['REVISION', (row) => row.revision],
		],
		answer.daemons,
	)}`;
};
