import type {RouteExplanation} from '@marjoramcove/gateway';
import type {Argv} from 'yargs';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {type Column, formatTable} from '../output.ts';

type ExplainedServer = RouteExplanation['services'][number]['servers'][number];

const round = (value: number): number => Math.round(value * 100) / 100;

const columns: Array<Column<ExplainedServer>> = [
	['SERVER', (row) => row.id],
	['ZONE', (row) => row.zone],
	['COST MS', (row) => round(row.costMs)],
	['CANDIDATE', (row) => (row.isCandidate ? 'yes' : 'no')],
	['OWN', (row) => row.inFlight],
	['OTHERS', (row) => row.othersInFlight],
	['SLOTS', (row) => row.slots],
	['CALL', (row) => round(row.factors.call)],
	['EVENT', (row) => round(row.factors.event)],
	['READ', (row) => round(row.factors.read)],
	['UNCACHED', (row) => row.uncachedTokens],
	['SUBSET', (row) => (row.isOutsideSubset ? 'outside' : 'in')],
	['REASONS', (row) => row.reasons],
];

const formatExplanation = ({route, services}: RouteExplanation): string =>
	services
		.map(({service, weight, isUneven, reportsAgeMs, servers}) =>
			[
				`${route} -> ${service} (weight ${weight}): servers ${isUneven ? 'differ in speed, two drawn ones are compared' : 'are equal, all are compared'}; loads of other daemons ${reportsAgeMs === undefined ? 'unknown' : `${Math.round(reportsAgeMs)} ms old`}`,
				'',
				formatTable(columns, servers),
			].join('\n'),
		)
		.join('\n');

type ExplainRouteArguments = CommonArguments & {
	route: string;
	team?: string;
	prompt?: string;
	object?: string;
};

const showExplanation = async (
	context: CommandContext,
	argv: ExplainRouteArguments,
): Promise<void> => {
	const query = new URLSearchParams({route: argv.route});
	for (const name of ['team', 'prompt', 'object'] as const) {
		const value = argv[name];
		if (value !== undefined) {
			query.set(name, value);
		}
	}

	const explanation = await createClient(
		context,
		argv,
	).getJson<RouteExplanation>(`/explain-route?${query.toString()}`);
	writeResult(context, argv, explanation, () => formatExplanation(explanation));
};

/** Adds the `explain-route` command. */
export const addExplainRouteCommand = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'explain-route <route>',
		'show which server an entry daemon would choose now for a route, with the inputs, and send no request; --address is its metrics address',
		(command) =>
			command
				.positional('route', {type: 'string', demandOption: true})
				.option('team', {type: 'string', describe: 'name of the team'})
				.option('prompt', {
					type: 'string',
					describe: 'parts of the prompt as id:tokens,id:tokens',
				})
				.option('object', {
					type: 'string',
					describe: 'object that a plain request concerns',
				}),
		async (argv) => showExplanation(context, argv),
	);
};
