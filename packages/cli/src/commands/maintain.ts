import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, RefusedError} from '@marjoramcove/errors';
import type {ApiClient} from '../api-client.ts';
import type {
	DaemonEntry,
	DaemonsAnswer,
	GroupEntry,
	ReplicaEntry,
	ReplicationAnswer,
} from '../api-types.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	writeResult,
} from '../command-context.ts';
import {formatTable} from '../output.ts';
import {showProgress} from '../show-progress.ts';

const POLL_MS = 300;
const REQUEST_EVERY_POLLS = 4;

const readDaemons = async (client: ApiClient): Promise<DaemonEntry[]> => {
	const {daemons} = await client.read<DaemonsAnswer>('/v1/operator/daemons');
	return daemons;
};

const readGroups = async (client: ApiClient): Promise<GroupEntry[]> => {
	const {groups} = await client.read<ReplicationAnswer>(
		'/v1/operator/replication',
	);
	return groups;
};

/** Drains a daemon and waits until it has left. */
export const drainDaemon = async (
	context: CommandContext,
	argv: CommonArguments & {daemon: string; wait?: boolean; timeoutMs?: number},
): Promise<void> => {
	const client = createClient(context, argv);
	const daemons = await readDaemons(client);
	const daemon = daemons.find(({daemonId}) => daemonId === argv.daemon);
	if (!daemon) {
		throw new RefusedError(`No live daemon is named ${argv.daemon}.`, {
			reason: 'daemon-unknown',
			hint: 'List them with marjoramcove list daemons.',
		});
	}

	await client.json({
		method: 'POST',
		path: '/v1/operator/drain',
		body: {daemonId: argv.daemon},
		repeatable: true,
		address: daemon.httpAddress,
	});
	if (argv.wait !== false) {
		await showProgress(
			context.output,
			() => `waiting for ${argv.daemon} to finish its work`,
			async () => waitForLeave(client, argv.daemon, argv.timeoutMs ?? 120_000),
		);
	}

	writeResult(
		context,
		argv,
		{daemonId: argv.daemon, drained: argv.wait !== false},
		() =>
			argv.wait === false
				? `Daemon ${argv.daemon} is draining.\n`
				: `Daemon ${argv.daemon} has left.\n`,
	);
};

const waitForLeave = async (
	client: ApiClient,
	daemonId: string,
	timeoutMs: number,
): Promise<void> => {
	const deadline = Date.now() + timeoutMs;
	while (Date.now() < deadline) {
		const daemons = await readDaemons(client);
		if (!daemons.some((daemon) => daemon.daemonId === daemonId)) {
			return;
		}

		await sleep(POLL_MS);
	}

	throw new MarjoramcoveError(
		`Daemon ${daemonId} has not left after ${timeoutMs} ms.`,
		{
			reason: 'drain-not-finished',
			verdict: 'ran',
			hint: 'The drain goes on. See the log of the daemon for the calls that are left.',
		},
	);
};

const describeReplica = (replica: ReplicaEntry): string => {
	const parts = [replica.daemonId, replica.role];
	if (replica.isLive === false) {
		parts.push('down');
	} else if (replica.lagEntries) {
		parts.push(`${replica.lagEntries} behind`);
	}

	return parts.join(':');
};

const describeRepair = ({repair}: GroupEntry): string | undefined =>
	repair && `${repair.phase} ${Math.floor(repair.progress * 100)}%`;

/** Megabytes of histories on the disk of the replica that reported. */
const describeHistory = ({
	historyBytes = 0,
	historyStartBytes = 0,
}: GroupEntry): string =>
	`${((historyBytes - historyStartBytes) / 1_000_000).toFixed(1)} MB`;

const formatGroups = (groups: GroupEntry[]): string =>
	formatTable(
		[
			['GROUP', (row) => row.groupId],
			['LEADER', (row) => row.leaderId],
			[
				'REPLICAS',
				(row) => row.replicas.map((entry) => describeReplica(entry)),
			],
			['HISTORY', describeHistory],
			['REPAIR', describeRepair],
		],
		groups,
	);

/** Shows the groups with their leaders and replicas. */
export const showReplication = async (
	context: CommandContext,
	argv: CommonArguments,
): Promise<void> => {
	const groups = await readGroups(createClient(context, argv));
	writeResult(context, argv, {groups}, () => formatGroups(groups));
};

type ReplaceArguments = CommonArguments & {
	lost: string;
	with: string;
	group?: string;
	timeoutMs?: number;
};

/** Disk of a replica by its group; a returned daemon has the same id but another disk. */
type LostDisks = Map<string, string | undefined>;

// A daemon that was just started announces its disk within a few heartbeats.
const DISK_ANNOUNCEMENT_MS = 15_000;

/** Asks for the replacement; the refusal of a disk that is not announced yet is returned. */
const requestReplacement = async (
	client: ApiClient,
	argv: ReplaceArguments,
): Promise<MarjoramcoveError | undefined> => {
	try {
		await client.json({
			method: 'POST',
			path: '/v1/operator/replicas/replace',
			body: {
				...(argv.group !== undefined && {groupId: argv.group}),
				lostDaemonId: argv.lost,
				newDaemonId: argv.with,
			},
			repeatable: true,
			timeoutMs: 60_000,
		});
		return undefined;
	} catch (error) {
		if (error instanceof MarjoramcoveError && error.reason === 'disk-unknown') {
			return error;
		}

		throw error;
	}
};

/** Replaces the replicas of a lost disk VM and waits until the new ones are voters. */
export const runReplacement = async (
	context: CommandContext,
	argv: ReplaceArguments,
): Promise<GroupEntry[]> => {
	const client = createClient(context, argv);
	const before = await readGroups(client);
	const lostDisks: LostDisks = new Map(
		before.map(({groupId, replicas}) => [
			groupId,
			replicas.find(({daemonId}) => daemonId === argv.lost)?.diskId,
		]),
	);
	let left = 'all groups';
	return showProgress(
		context.output,
		() => `waiting for the repair of ${left}`,
		async () =>
			waitForReplicas(client, {...argv, lostDisks}, (groups) => {
				left = groups
					.map((group) =>
						[group.groupId, describeRepair(group)].filter(Boolean).join(' '),
					)
					.join(', ');
			}),
	);
};

/** Replaces the replicas of a lost disk VM and shows the groups. */
export const replaceReplicas = async (
	context: CommandContext,
	argv: ReplaceArguments,
): Promise<void> => {
	const groups = await runReplacement(context, argv);
	writeResult(
		context,
		argv,
		{groups},
		() => `${argv.with} replaces ${argv.lost}.\n${formatGroups(groups)}`,
	);
};

// Longer than a leader takes to notice that a replica is down, at the default settings.
const LIVENESS_MS = 5000;

/**
 * Whether a group has the new replica as a voter. A daemon that replaces itself needs a disk other than
 * the lost one, or a replica that has stayed live, because then its disk was not lost.
 */
const isReplaced = (
	group: GroupEntry,
	argv: ReplaceArguments & {lostDisks: LostDisks},
	elapsedMs: number,
): boolean => {
	if (group.repair) {
		return false;
	}

	const {lost, with: replacement, lostDisks} = argv;
	const voter = group.replicas.find(
		({daemonId, role}) => daemonId === replacement && role === 'voter',
	);
	if (lost === replacement) {
		return (
			voter !== undefined &&
			(voter.diskId !== lostDisks.get(group.groupId) ||
				(voter.isLive === true && elapsedMs > LIVENESS_MS))
		);
	}

	return (
		voter !== undefined &&
		!group.replicas.some(({daemonId}) => daemonId === lost)
	);
};

const createRepairError = (left: GroupEntry[]): MarjoramcoveError =>
	new MarjoramcoveError(
		`The groups ${left.map(({groupId}) => groupId).join(', ')} are not repaired yet.`,
		{
			reason: 'repair-not-finished',
			verdict: 'ran',
			hint: 'The repair goes on; see marjoramcove replication status.',
		},
	);

const waitForReplicas = async (
	client: ApiClient,
	argv: ReplaceArguments & {lostDisks: LostDisks},
	report: (left: GroupEntry[]) => void,
): Promise<GroupEntry[]> => {
	const startMs = Date.now();
	const deadline = startMs + (argv.timeoutMs ?? 300_000);
	let left: GroupEntry[] = [];
	for (let poll = 0; Date.now() < deadline; poll++) {
		const elapsedMs = Date.now() - startMs;
		// A leader that still knows the old disk answers without beginning a repair.
		if (poll % REQUEST_EVERY_POLLS === 0 && left.every(({repair}) => !repair)) {
			const refusal = await requestReplacement(client, argv);
			if (refusal && elapsedMs > DISK_ANNOUNCEMENT_MS) {
				throw refusal;
			}
		}

		const groups = await readGroups(client);
		const wanted = groups.filter(
			({groupId}) => argv.group === undefined || groupId === argv.group,
		);
		left = wanted.filter((group) => !isReplaced(group, argv, elapsedMs));
		report(left);
		if (left.length === 0) {
			return wanted;
		}

		await sleep(POLL_MS);
	}

	throw createRepairError(left);
};
