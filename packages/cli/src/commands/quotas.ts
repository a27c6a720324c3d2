import type {QuotaUse} from '@marjoramcove/gateway';
import type {Argv} from 'yargs';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {type Column, formatTable} from '../output.ts';

const columns: Array<Column<QuotaUse['teams'][number]>> = [
	['TEAM', (row) => row.teamId],
	['RATE', (row) => row.limit.requestsPerSecond],
	['BURST', (row) => row.limit.burstRequests],
	['DEMAND', (row) => row.demandPerSecond.toFixed(1)],
	['AVAILABLE', (row) => row.availableRequests],
	['GRANTED', (row) => row.grantedRequests],
	['RETURNED', (row) => row.returnedRequests],
	['REFUSED', (row) => row.refusedRequests],
	['PER PROGRAM', (row) => row.requestsPerProgram.toFixed(1)],
	['STATE', (row) => (row.isLimited ? 'limited' : 'free')],
];

const formatUse = ({isOwner, teams}: QuotaUse): string =>
	isOwner
		? formatTable(columns, teams)
		: 'This daemon does not own the quotas; ask the control leader that `marjoramcove status` names.';

const showQuotas = async (
	context: CommandContext,
	argv: CommonArguments,
): Promise<void> => {
	const client = createClient(context, argv);
	const use = await client.getJson<QuotaUse>('/quotas');
	writeResult(context, argv, use, () => formatUse(use));
};

/** Adds the `quotas` command. */
export const addQuotasCommand = (
	parser: Argv<CommonArguments>,
	context: CommandContext,
): void => {
	parser.command(
		'quotas',
		'show the use of the quotas of teams in a deployment that was formed from seeds; --address is the metrics address of the control leader',
		(command) => command,
		async (argv) => showQuotas(context, argv),
	);
};
