import {writeFileSync} from 'node:fs';
import {stringify} from 'yaml';
import type {DaemonProcess} from './daemon-process.ts';

/** Settings that a test may override. */
export type SettingsOverrides = {
	timing?: Record<string, number>;
	limits?: Record<string, number>;
	policy?: Record<string, unknown>;
	vmList?: {url: string};
	weightStore?: {url: string};
	shardCount?: number;
	logLevel?: string;
};

/** Short timeouts for tests, so that failures are detected within seconds. */
export const fastTiming: Record<string, number> = {
	heartbeatMs: 250,
	electionTimeoutMinMs: 600,
	electionTimeoutMaxMs: 1200,
	configurationLeaseMs: 2000,
	addressTtlMs: 1500,
	streamSilenceMs: 1500,
	linkHeartbeatMs: 300,
	linkTimeoutMs: 1200,
	requestTimeoutMs: 5000,
	openIntentSweepMs: 500,
	healthCheckMs: 500,
	callerHeartbeatMs: 1000,
};

/** Writes the settings file of a daemon. */
export const writeSettings = (
	daemon: DaemonProcess,
	options: {
		daemons: readonly DaemonProcess[];
		/** Returns the peer address at which this daemon reaches another one, such as that of a proxy. */
		peerAddressOf: (to: DaemonProcess) => string;
		overrides: SettingsOverrides;
	},
): void => {
	const {overrides} = options;
	const settings = {
		daemonId: daemon.daemonId,
		zone: daemon.zone,
		listen: {
			host: '127.0.0.1',
			httpPort: portOf(daemon.httpAddress),
			peerPort: portOf(daemon.peerAddress),
		},
		roles: daemon.hasDisk ? ['entry', 'state'] : ['entry'],
		...(daemon.hasDisk && {dataFolder: daemon.dataFolder}),
		cluster: {
			shardCount: overrides.shardCount ?? 4,
			peers: options.daemons.map((peer) => ({
				daemonId: peer.daemonId,
				zone: peer.zone,
				peerAddress:
					peer === daemon ? peer.peerAddress : options.peerAddressOf(peer),
				httpAddress: peer.httpAddress,
				state: peer.hasDisk,
			})),
		},
		...(overrides.vmList && {vmList: overrides.vmList}),
		...(overrides.weightStore && {weightStore: overrides.weightStore}),
		timing: {...fastTiming, ...overrides.timing},
		...(overrides.limits && {limits: overrides.limits}),
		...(overrides.policy && {policy: overrides.policy}),
		logs: {level: overrides.logLevel ?? 'info', destination: 'stdout'},
	};
	writeFileSync(daemon.settingsFile, stringify(settings));
};

const portOf = (address: string): number => Number(address.split(':')[1]);
