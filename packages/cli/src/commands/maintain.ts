import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, RefusedError} from '@marjoramcove/errors';
import type {ApiClient} from '../api-client.ts';
import type {
	DaemonEntry,
	DaemonsResponse,
	GroupEntry,
	ReplicaEntry,
	ReplicationResponse,
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
const POLLS_PER_REQUEST = 4;

const readDaemons = async (client: ApiClient): Promise<DaemonEntry[]> => {
	const {daemons} = await client.getJson<DaemonsResponse>(
		'/v1/operator/daemons',
	);
	return daemons;
};

const readGroups = async (client: ApiClient): Promise<GroupEntry[]> => {
	const {groups} = await client.getJson<ReplicationResponse>(
		'/v1/operator/replication',
	);
	return groups;
};

/** Drains a daemon and waits until it has left the cluster. */
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

	await client.requestJson({
		method: 'POST',
		path: '/v1/operator/drain',
		body: {daemonId: argv.daemon},
		idempotent: true,
		address: daemon.httpAddress,
	});
	if (argv.wait !== false) {
		await showProgress(
			context.output,
			() => `waiting for ${argv.daemon} to finish its work`,
			async () =>
				waitUntilDaemonLeft(client, argv.daemon, argv.timeoutMs ?? 120_000),
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

const waitUntilDaemonLeft = async (
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
			hint: 'The drain continues. See the log of the daemon for the remaining calls.',
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

/** Formats the size in megabytes of the histories on the disk of the reporting replica. */
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

/** Shows each group with its leader and replicas. */
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

/** Disk id of the lost replica by group. A daemon that returns keeps its id but may have another disk. */
type DiskIdsByGroup = Map<string, string | undefined>;

// A newly started daemon announces its disk within a few heartbeats.
const DISK_ANNOUNCEMENT_TIMEOUT_MS = 15_000;

/** Requests the replacement. Returns the refusal when the disk of the new daemon is not announced yet. */
const requestReplacement = async (
	client: ApiClient,
	argv: ReplaceArguments,
): Promise<MarjoramcoveError | undefined> => {
	try {
		await client.requestJson({
			method: 'POST',
			path: '/v1/operator/replicas/replace',
			body: {
				...(argv.group !== undefined && {groupId: argv.group}),
				lostDaemonId: argv.lost,
				newDaemonId: argv.with,
			},
			idempotent: true,
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
	const groupsBefore = await readGroups(client);
	const lostDisks: DiskIdsByGroup = new Map(
		groupsBefore.map(({groupId, replicas}) => [
			groupId,
			replicas.find(({daemonId}) => daemonId === argv.lost)?.diskId,
		]),
	);
	let pendingRepairs = 'all groups';
	return showProgress(
		context.output,
		() => `waiting for the repair of ${pendingRepairs}`,
		async () =>
			waitForReplicas(client, {...argv, lostDisks}, (groups) => {
				pendingRepairs = groups
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

// Longer than a leader takes to detect that a replica is down at the default settings.
const LIVENESS_DETECTION_MS = 5000;

/**
 * Whether the new replica of a group is a voter. A daemon that replaces itself must have a disk other
 * than the lost one, or a replica that stays live, which shows that its disk was not lost.
 */
const isReplaced = (
	group: GroupEntry,
	argv: ReplaceArguments & {lostDisks: DiskIdsByGroup},
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
				(voter.isLive === true && elapsedMs > LIVENESS_DETECTION_MS))
		);
	}

	return (
		voter !== undefined &&
		!group.replicas.some(({daemonId}) => daemonId === lost)
	);
};

const createRepairTimeoutError = (
	unrepaired: GroupEntry[],
): MarjoramcoveError =>
	new MarjoramcoveError(
		`The groups ${unrepaired.map(({groupId}) => groupId).join(', ')} are not repaired yet.`,
		{
			reason: 'repair-not-finished',
			verdict: 'ran',
			hint: 'The repair continues; see marjoramcove replication status.',
		},
	);

const waitForReplicas = async (
	client: ApiClient,
	argv: ReplaceArguments & {lostDisks: DiskIdsByGroup},
	onProgress: (unrepaired: GroupEntry[]) => void,
): Promise<GroupEntry[]> => {
	const startMs = Date.now();
	const deadline = startMs + (argv.timeoutMs ?? 300_000);
	let unrepaired: GroupEntry[] = [];
	for (let poll = 0; Date.now() < deadline; poll++) {
		const elapsedMs = Date.now() - startMs;
		// A leader that still has the old disk id responds without starting a repair, so the request is
		// repeated.
		if (
			poll % POLLS_PER_REQUEST === 0 &&
			unrepaired.every(({repair}) => !repair)
		) {
			const refusal = await requestReplacement(client, argv);
			if (refusal && elapsedMs > DISK_ANNOUNCEMENT_TIMEOUT_MS) {
				throw refusal;
			}
		}

		const groups = await readGroups(client);
		const targetGroups = groups.filter(
			({groupId}) => argv.group === undefined || groupId === argv.group,
		);
		unrepaired = targetGroups.filter(
			(group) => !isReplaced(group, argv, elapsedMs),
		);
		onProgress(unrepaired);
		if (unrepaired.length === 0) {
			return targetGroups;
		}

		await sleep(POLL_MS);
	}

	throw createRepairTimeoutError(unrepaired);
};
