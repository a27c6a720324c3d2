import type {DaemonId} from '@marjoramcove/types';
import type {FleetMember, FleetRole} from './member.ts';

/** What decides to whom a daemon reports. */
export type ParentChoice = {
	selfId: DaemonId;
	zone: string;
	role: FleetRole;
	/** Control daemons that the settings name. */
	seeds: readonly DaemonId[];
	/** The last known members. */
	members: readonly FleetMember[];
	/** Leader of the configuration group, when it is known. */
	leaderId: DaemonId | undefined;
	/** Times until which daemons are left out because they failed. */
	failedUntilMs: ReadonlyMap<DaemonId, number>;
	nowMs: number;
	/** Uniform in [0, 1). */
	random: () => number;
};

const pick = (
	candidates: readonly DaemonId[],
	random: () => number,
): DaemonId | undefined => candidates[Math.floor(random() * candidates.length)];

/**
 * Chooses the control daemon to report to: for a control daemon the leader, for others one of their
 * zone, then any known one, then a seed. When all of them failed lately, one is tried all the same.
 *
 * @returns `undefined` when there is no other control daemon.
 * @example
 * ```ts
 * const parentId = chooseParent({selfId, zone, role: 'entry', seeds, members, leaderId, failedUntilMs, nowMs, random});
 * ```
 */
export const chooseParent = (choice: ParentChoice): DaemonId | undefined => {
	const {selfId, members, seeds, leaderId, nowMs, random} = choice;
	const isUsable = (id: DaemonId) =>
		id !== selfId && (choice.failedUntilMs.get(id) ?? 0) <= nowMs;
	if (
		choice.role === 'control' &&
		leaderId !== undefined &&
		leaderId !== selfId
	) {
		// The replicas heard the leader a moment ago, so an earlier failure says nothing about it.
		return leaderId;
	}

	const control = members.filter(
		({role, phase}) => role === 'control' && phase !== 'draining',
	);
	const ids = (list: readonly FleetMember[]) =>
		list.map(({daemonId}) => daemonId);
	const ranked: DaemonId[][] = [
		choice.role === 'control'
			? []
			: ids(control.filter(({zone}) => zone === choice.zone)),
		ids(control),
		[...seeds],
	];
	for (const candidates of ranked) {
		const usable = candidates.filter((id) => isUsable(id));
		if (usable.length > 0) {
			return pick(usable, random);
		}
	}

	return pick(
		[...new Set([...ids(control), ...seeds])].filter((id) => id !== selfId),
		random,
	);
};
