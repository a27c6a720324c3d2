import {RefusedError} from '@marjoramcove/errors';
import type {ApiClient} from '../api-client.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {type Column, formatRecord, formatTable} from '../output.ts';

/** Collections that `list` and `describe` accept. */
export const listTargets = [
	'programs',
	'engines',
	'upstreams',
	'daemons',
	'leader',
] as const;

export type ListTarget = (typeof listTargets)[number];

type Row = Record<string, unknown>;

const describeState = ({leaving, healthy}: Row): string => {
	if (leaving) {
		return 'leaving';
	}

	return healthy === false ? 'unhealthy' : 'ready';
};

const columns: Record<ListTarget, Array<Column<Row>>> = {
	programs: [
		['PROGRAM', (row) => row.programId],
		['PHASE', (row) => row.phase],
		['CALLER', (row) => row.callerId],
		['TURN', (row) => row.nextTurn],
		['LABELS', (row) => row.labels],
	],
	engines: [
		['ENGINE', (row) => row.name],
		['ZONE', (row) => row.zone],
		['ADDRESS', (row) => row.address],
		['LABELS', (row) => row.labels],
		['SLOTS', (row) => row.slots],
		['STATE', describeState],
		['DISPATCHER', (row) => row.dispatcherId],
	],
	upstreams: [
		['UPSTREAM', (row) => row.name],
		['TYPE', (row) => row.type],
		['ZONE', (row) => row.zone],
		['ADDRESS', (row) => row.address],
		['LABELS', (row) => row.labels],
		['STATE', describeState],
		['DISPATCHER', (row) => row.dispatcherId],
	],
	daemons: [
		['DAEMON', (row) => row.daemonId],
		['ZONE', (row) => row.zone],
		['ADDRESS', (row) => row.httpAddress],
		['PHASE', (row) => row.phase],
		['REVISION', (row) => row.revision],
	],
	leader: [
		['GROUP', (row) => row.groupId],
		['LEADER', (row) => row.leaderId],
		['TERM', (row) => row.term],
	],
};

const readList = async (
	client: ApiClient,
	path: string,
	field: string,
): Promise<Row[]> => {
	const response = await client.getJson<Record<string, Row[]>>(
		`/v1/operator/${path}`,
	);
	return response[field] ?? [];
};

/** Reads the rows of a collection. */
export const readRows = async (
	client: ApiClient,
	target: ListTarget,
): Promise<Row[]> => {
	switch (target) {
		case 'programs': {
			return readList(client, 'programs', 'programs');
		}

		case 'engines': {
			const rows = await readList(client, 'upstreams', 'upstreams');
			return rows.filter((row) => row.type === 'engine');
		}

		case 'upstreams': {
			return readList(client, 'upstreams', 'upstreams');
		}

		case 'daemons': {
			return readList(client, 'daemons', 'daemons');
		}

		case 'leader': {
			const groups = await readList(client, 'replication', 'groups');
			return groups.map(({groupId, leaderId, term}) => ({
				groupId,
				leaderId,
				term,
			}));
		}
	}
};

/** Lists programs, engines, upstreams, daemons or the leaders of the groups. */
export const listRows = async (
	context: CommandContext,
	argv: CommonArguments & {what: ListTarget},
): Promise<void> => {
	const rows = await readRows(createClient(context, argv), argv.what);
	writeResult(context, argv, {[argv.what]: rows}, () =>
		rows.length === 0
			? `There are no ${argv.what}.\n`
			: formatTable(columns[argv.what], rows),
	);
};

const readEntry = async (
	client: ApiClient,
	target: ListTarget,
	name: string,
): Promise<Row> => {
	if (target === 'programs') {
		return client.getJson<Row>(`/v1/programs/${encodeURIComponent(name)}`);
	}

	const rows = await readRows(client, target);
	const row = rows.find((entry) =>
		[entry.name, entry.daemonId, entry.groupId].includes(name),
	);
	if (!row) {
		throw new RefusedError(`No entry in ${target} is named ${name}.`, {
			reason: 'name-unknown',
			hint: `List them with marjoramcove list ${target}.`,
		});
	}

	return row;
};

/** Shows every field of one entry. */
export const describeEntry = async (
	context: CommandContext,
	argv: CommonArguments & {what: ListTarget; name: string},
): Promise<void> => {
	const row = await readEntry(
		createClient(context, argv),
		argv.what,
		argv.name,
	);
	writeResult(context, argv, row, () => formatRecord(row));
};
