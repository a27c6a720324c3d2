import type {DaemonId} from '@marjoramcove/types';
import type {FleetMember, FleetRole} from './member.ts';

/** Inputs for choosing the control daemon that a daemon reports to. */
export type ChooseParentInput = {
	selfId: DaemonId;
	zone: string;
	role: FleetRole;
	/** Control daemons listed in the settings. */
	seeds: readonly DaemonId[];
	/** The last known members. */
	members: readonly FleetMember[];
	/** Leader of the configuration group, if known. */
	leaderId: DaemonId | undefined;
	/** Times until which failed daemons are skipped. */
	failedUntilMs: ReadonlyMap<DaemonId, number>;
	/** Times at which daemons responded without a current confirmation from the leader. */
	staleAtMs?: ReadonlyMap<DaemonId, number>;
	nowMs: number;
	/** Returns a uniformly distributed number in [0, 1). */
	random: () => number;
};

const pickRandom = (
	candidates: readonly DaemonId[],
	random: () => number,
): DaemonId | undefined => candidates[Math.floor(random() * candidates.length)];

/**
 * Chooses the control daemon to report to. A control daemon reports to the leader, if known. Other
 * daemons prefer a control daemon in their own zone, then any known one, then a seed. Those without a
 * current confirmation are chosen only when there are no others, the one that was asked longest ago first.
 * If all candidates failed recently, one of them is returned anyway so that the daemon keeps trying.
 *
 * @returns `undefined` if no other control daemon is known.
 * @example
 * ```ts
 * const parentId = chooseParent({selfId, zone, role: 'entry', seeds, members, leaderId, failedUntilMs, nowMs, random});
 * ```
 */
export const chooseParent = (
	input: ChooseParentInput,
): DaemonId | undefined => {
	const {selfId, members, seeds, leaderId, nowMs, random} = input;
	const staleAtMs = input.staleAtMs ?? new Map<DaemonId, number>();
	const isReachable = (id: DaemonId) =>
		id !== selfId && (input.failedUntilMs.get(id) ?? 0) <= nowMs;
	const isUsable = (id: DaemonId) => isReachable(id) && !staleAtMs.has(id);
	if (
		input.role === 'control' &&
		leaderId !== undefined &&
		leaderId !== selfId
	) {
		// The local replica just heard from this leader, so an earlier failure is outdated.
		return leaderId;
	}

	const controlDaemons = members.filter(
		({role, phase}) => role === 'control' && phase !== 'draining',
	);
	const idsOf = (list: readonly FleetMember[]) =>
		list.map(({daemonId}) => daemonId);
	const candidateTiers: DaemonId[][] = [
		input.role === 'control'
			? []
			: idsOf(controlDaemons.filter(({zone}) => zone === input.zone)),
		idsOf(controlDaemons),
		[...seeds],
	];
	for (const candidates of candidateTiers) {
		const usable = candidates.filter((id) => isUsable(id));
		if (usable.length > 0) {
			return pickRandom(usable, random);
		}
	}

	const all = [...new Set([...idsOf(controlDaemons), ...seeds])];
	const [longestStale] = all
		.filter((id) => isReachable(id))
		.toSorted((a, b) => staleAtMs.get(a)! - staleAtMs.get(b)!);
	return (
		longestStale ??
		pickRandom(
			all.filter((id) => id !== selfId),
			random,
		)
	);
};
