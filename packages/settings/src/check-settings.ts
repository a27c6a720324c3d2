import type {Settings} from './settings-schema.ts';

/** A rule that the schema alone cannot express was broken. */
export type SettingsProblem = {path: string; found: string; allowed: string};

/**
 * Checks rules that concern several keys.
 *
 * @example
 * ```ts
 * const problems = checkSettings(settings);
 * ```
 */
export const checkSettings = (settings: Settings): SettingsProblem[] => {
	const {timing, cluster, roles} = settings;
	const problems: SettingsProblem[] = [];
	const check = (
		holds: boolean,
		path: string,
		found: unknown,
		allowed: string,
	) => {
		if (!holds) {
			problems.push({path, found: JSON.stringify(found) ?? 'nothing', allowed});
		}
	};

	const self = cluster.peers.find(
		(peer) => peer.daemonId === settings.daemonId,
	);
	const hasState = roles.includes('state');
	check(
		!hasState || settings.dataFolder !== undefined,
		'dataFolder',
		settings.dataFolder,
		'a path, because roles contains state',
	);
	check(
		self !== undefined,
		'cluster.peers',
		cluster.peers.map((peer) => peer.daemonId),
		`a list that contains this daemon (${settings.daemonId})`,
	);
	check(
		self === undefined || self.state === hasState,
		'cluster.peers[].state',
		self?.state,
		`${hasState} for this daemon, as in roles`,
	);
	check(
		new Set(cluster.peers.map((peer) => peer.daemonId)).size ===
			cluster.peers.length,
		'cluster.peers',
		cluster.peers.map((peer) => peer.daemonId),
		'each daemonId once',
	);
	check(
		cluster.peers.some((peer) => peer.state),
		'cluster.peers',
		'no peer with state: true',
		'at least one peer with state: true',
	);
	check(
		timing.electionTimeoutMinMs > 2 * timing.raftHeartbeatMs,
		'timing.electionTimeoutMinMs',
		timing.electionTimeoutMinMs,
		'more than twice timing.raftHeartbeatMs',
	);
	check(
		timing.electionTimeoutMaxMs > timing.electionTimeoutMinMs,
		'timing.electionTimeoutMaxMs',
		timing.electionTimeoutMaxMs,
		'more than timing.electionTimeoutMinMs',
	);
	check(
		timing.configurationLeaseMs >= 2 * timing.heartbeatMs,
		'timing.configurationLeaseMs',
		timing.configurationLeaseMs,
		'at least twice timing.heartbeatMs',
	);
	check(
		timing.linkTimeoutMs > timing.linkHeartbeatMs,
		'timing.linkTimeoutMs',
		timing.linkTimeoutMs,
		'more than timing.linkHeartbeatMs',
	);
	return problems;
};
