import {type Caller, type TestBed, waitFor} from '@marjoramcove/test-support';

type Group = {
	groupId: string;
	leaderId?: string;
	replicas: Array<{daemonId: string; role: string}>;
};

/** Group that holds a program; the shard is part of the id `p<shard>-<random>`. */
export const groupOf = (programId: string): string =>
	`shard-${/^p(?<shard>\d+)-/v.exec(programId)!.groups!.shard}`;

/** Replicated logs as a daemon sees them. */
export const readGroups = async (caller: Caller): Promise<Group[]> => {
	const answer = await caller.send<{groups: Group[]}>(
		'GET',
		'/v1/operator/replication',
	);
	return answer.body.groups;
};

/** Waits until a daemon reports a leader of a group, and returns the leader. */
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

/** A daemon that is none of the given ones. */
export const findOther = (bed: TestBed, ...except: string[]): string =>
	bed.cluster.daemons.findLast(
		({daemonId, running}) => running && !except.includes(daemonId),
	)!.daemonId;

/** Opens programs until one lives in a group with another leader than the given daemons. */
export const openProgramOwnedBy = async (
	caller: Caller,
	isOwner: (daemonId: string) => boolean,
): Promise<string> =>
	waitFor('a program with the wanted owner', async () => {
		const programId = await caller.openProgram();
		const leader = await findLeader(caller, groupOf(programId));
		return isOwner(leader) ? programId : undefined;
	});

/**
 * Waits until all daemons of a bed are members and agree on the dispatcher of an upstream; after a
 * restart the dispatcher moves back once.
 */
export const waitForStableRoles = async (
	bed: TestBed,
	upstream: string,
): Promise<void> => {
	await waitFor('all daemons to be members and to agree', async () => {
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
	});
};
