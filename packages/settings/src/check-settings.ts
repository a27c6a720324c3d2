import type {Settings} from './settings-schema.ts';

/** A setting that violates the schema or a rule that concerns several settings. */
export type SettingsProblem = {path: string; found: string; allowed: string};

/** A rule that the schema cannot express, and whether it holds for the settings. */
type Rule = {
	holds: boolean;
	path: string;
	found: unknown;
	allowed: string;
};

const listClusterRules = ({
	daemonId,
	roles,
	dataFolder,
	cluster,
}: Settings): Rule[] => {
	const ids = cluster.peers.map((peer) => peer.daemonId);
	const self = cluster.peers.find((peer) => peer.daemonId === daemonId);
	const hasState = roles.includes('state');
	return [
		{
			holds: !hasState || dataFolder !== undefined,
			path: 'dataFolder',
			found: dataFolder,
			allowed: 'a path, because roles contains state',
		},
		{
			holds: self !== undefined,
			path: 'cluster.peers',
			found: ids,
			allowed: `a list that contains this daemon (${daemonId})`,
		},
		{
			holds: self === undefined || self.state === hasState,
			path: 'cluster.peers[].state',
			found: self?.state,
			allowed: `${hasState} for this daemon, as in roles`,
		},
		{
			holds: new Set(ids).size === ids.length,
			path: 'cluster.peers',
			found: ids,
			allowed: 'each daemonId once',
		},
		{
			holds: cluster.peers.some((peer) => peer.state),
			path: 'cluster.peers',
			found: 'no peer with state: true',
			allowed: 'at least one peer with state: true',
		},
	];
};

const listTimingRules = ({timing}: Settings): Rule[] => [
	{
		holds: timing.electionTimeoutMinMs > 2 * timing.raftHeartbeatMs,
		path: 'timing.electionTimeoutMinMs',
		found: timing.electionTimeoutMinMs,
		allowed: 'more than twice timing.raftHeartbeatMs',
	},
	{
		holds: timing.electionTimeoutMaxMs > timing.electionTimeoutMinMs,
		path: 'timing.electionTimeoutMaxMs',
		found: timing.electionTimeoutMaxMs,
		allowed: 'more than timing.electionTimeoutMinMs',
	},
	{
		holds: timing.configurationLeaseMs >= 2 * timing.heartbeatMs,
		path: 'timing.configurationLeaseMs',
		found: timing.configurationLeaseMs,
		allowed: 'at least twice timing.heartbeatMs',
	},
	{
		holds: timing.linkTimeoutMs > timing.linkHeartbeatMs,
		path: 'timing.linkTimeoutMs',
		found: timing.linkTimeoutMs,
		allowed: 'more than timing.linkHeartbeatMs',
	},
];

/**
 * Checks the rules that concern several settings, which the schema cannot express.
 *
 * @example
 * ```ts
 * const problems = checkSettings(settings);
 * ```
 */
export const checkSettings = (settings: Settings): SettingsProblem[] =>
	[...listClusterRules(settings), ...listTimingRules(settings)]
		.filter(({holds}) => !holds)
		.map(({path, found, allowed}) => ({
			path,
			found: JSON.stringify(found) ?? 'nothing',
			allowed,
		}));
