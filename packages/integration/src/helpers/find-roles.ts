import {type Caller, type TestBed, waitFor} from '@marjoramcove/test-support';

type Group = {
	groupId: string;
	leaderId?: string;
	replicas: Array<{daemonId: string; role: string}>;
};

/** Returns the id of the group that stores a program; program ids have the form `p<shard>-<random>`. */
export const groupIdOf = (programId: string): string =>
	`shard-${/^p(?<shard>\d+)-/v.exec(programId)!.groups!.shard}`;

/** Reads the replication groups as known to a daemon. */
export const readGroups = async (caller: Caller): Promise<Group[]> => {
	const answer = await caller.send<{groups: Group[]}>(
		'GET',
		'/v1/operator/replication',
	);
	return answer.body.groups;
};

/** Waits until a daemon reports a leader of a group other than `except`, and returns the leader. */
export const findLeader = async (
	caller: Caller,
	groupId: string,
	except?: string,
): Promise<string> =>
	waitFor(`a leader of ${groupId}`, async () => {
		const groups = await readGroups(caller);
		const leaderId = groups.find(
			(group) => group.groupId === groupId,
		)?.leaderId;
		return leaderId === except ? undefined : leaderId;
	});

/** Waits until a daemon reports the dispatcher of an upstream, and returns it. */
export const findDispatcher = async (
	caller: Caller,
	upstream: string,
): Promise<string> =>
	waitFor(`the dispatcher of ${upstream}`, async () => {
		const answer = await caller.send<{
			upstreams: Array<{name: string; dispatcherId?: string}>;
		}>('GET', '/v1/operator/upstreams');
		return answer.body.upstreams.find(({name}) => name === upstream)
			?.dispatcherId;
	});

/**
 * Makes other daemons lead all groups that a daemon leads, by suspending it for longer than an election
 * takes. Its other roles return to it afterwards.
 */
export const moveLeaderships = async (
	bed: TestBed,
	daemonId: string,
	observer: Caller,
): Promise<void> => {
	const daemon = bed.cluster.daemon(daemonId);
	daemon.signal('SIGSTOP');
	try {
		await waitFor(`other leaders than ${daemonId}`, async () => {
			const groups = await readGroups(observer);
			return groups.every(
				({leaderId}) => leaderId !== undefined && leaderId !== daemonId,
			);
		});
	} finally {
		daemon.signal('SIGCONT');
	}
};

/** Returns a running daemon other than the given ones. */
export const findOtherDaemon = (bed: TestBed, ...except: string[]): string =>
	bed.cluster.daemons.findLast(
		({daemonId, running}) => running && !except.includes(daemonId),
	)!.daemonId;

/** Opens programs until the owner of one satisfies the condition, and returns that program. */
export const openProgramOwnedBy = async (
	caller: Caller,
	isOwner: (daemonId: string) => boolean,
): Promise<string> =>
	waitFor('a program with a suitable owner', async () => {
		const programId = await caller.openProgram();
		const leader = await findLeader(caller, groupIdOf(programId));
		return isOwner(leader) ? programId : undefined;
	});

/**
 * Waits until all daemons are ready members and report the same dispatcher of an upstream. After a
 * restart the dispatcher role moves back once.
 */
export const waitForStableRoles = async (
	bed: TestBed,
	upstream: string,
): Promise<void> => {
	await waitFor(
		'all daemons to be ready and to report the same dispatcher',
		async () => {
			const members = await bed
				.caller(bed.cluster.daemons[0]!.daemonId)
				.send<{daemons: Array<{phase: string}>}>('GET', '/v1/operator/daemons');
			const ready = members.body.daemons.filter(({phase}) => phase === 'ready');
			if (ready.length !== bed.cluster.daemons.length) {
				return false;
			}

			const dispatchers = await Promise.all(
				bed.cluster.daemons.map(async ({daemonId}) =>
					findDispatcher(bed.caller(daemonId), upstream),
				),
			);
			return new Set(dispatchers).size === 1;
		},
	);
};
