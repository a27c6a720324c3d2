import {existsSync, mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {TcpProxy} from '../tcp-proxy.ts';
import {daemonBinary, DaemonProcess} from './daemon-process.ts';
import {reservePort} from './reserve-port.ts';
import {type SettingsOverrides, writeSettings} from './write-settings.ts';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Options of a cluster of real daemon processes. */
export type ClusterOptions = {
	/** Number of daemons; the first `diskCount` have a data folder. Daemons are spread over the zones in turn. */
	daemonCount?: number;
	diskCount?: number;
	/** Whether each link between daemons has a proxy. */
	proxied?: boolean;
	settings?: SettingsOverrides;
};

/**
 * Starts real `marjoramcoved` processes on free loopback ports and stops them by process id.
 *
 * @example
 * ```ts
 * const cluster = await Cluster.start({daemonCount: 8});
 * await cluster.daemon('d1').kill();
 * await cluster.stop();
 * ```
 */
export class Cluster {
	/** Starts all daemons and waits until they are ready. */
	static async start(options: ClusterOptions = {}): Promise<Cluster> {
		const cluster = await Cluster.create(options);
		try {
			for (const daemon of cluster.daemons) {
				daemon.start();
			}

			await cluster.waitUntilReady();
		} catch (error) {
			const logs = cluster.describeLogs();
			await cluster.stop();
			throw new Error(`The cluster did not become ready.\n${logs}`, {
				cause: error,
			});
		}

		return cluster;
	}

	/** Writes the settings files and starts the proxies, but not the daemons. */
	static async create(options: ClusterOptions = {}): Promise<Cluster> {
		if (!existsSync(daemonBinary)) {
			throw new Error(
				`${daemonBinary} does not exist; run npm run build first.`,
			);
		}

		const cluster = new Cluster(options);
		const diskCount = options.diskCount ?? 3;
		for (let index = 0; index < (options.daemonCount ?? 8); index++) {
			cluster.daemons.push(
				new DaemonProcess({
					daemonId: `d${index + 1}`,
					zone: ZONES[index % ZONES.length]!,
					hasDisk: index < diskCount,
					httpAddress: `127.0.0.1:${await reservePort()}`,
					peerAddress: `127.0.0.1:${await reservePort()}`,
					folder: cluster.folder,
				}),
			);
		}

		if (options.proxied) {
			await cluster.#startProxies();
		}

		for (const daemon of cluster.daemons) {
			cluster.writeSettings(daemon);
		}

		return cluster;
	}

	/** Folder of the settings files, data folders and logs. */
	readonly folder: string;
	readonly daemons: DaemonProcess[] = [];
	readonly #options: ClusterOptions;
	readonly #proxies = new Map<string, TcpProxy>();

	private constructor(options: ClusterOptions) {
		this.folder = mkdtempSync(path.join(tmpdir(), 'marjoramcove-'));
		this.#options = options;
	}

	get diskDaemons(): DaemonProcess[] {
		return this.daemons.filter((daemon) => daemon.hasDisk);
	}

	get entryDaemons(): DaemonProcess[] {
		return this.daemons.filter((daemon) => !daemon.hasDisk);
	}

	/** HTTP addresses of all daemons. */
	get addresses(): string[] {
		return this.daemons.map((daemon) => daemon.httpAddress);
	}

	daemon(daemonId: string): DaemonProcess {
		const daemon = this.daemons.find(
			(candidate) => candidate.daemonId === daemonId,
		);
		if (!daemon) {
			throw new Error(`The cluster has no daemon ${daemonId}.`);
		}

		return daemon;
	}

	/** Rewrites the settings file of a daemon, optionally with overrides. */
	writeSettings(
		daemon: DaemonProcess,
		overrides: SettingsOverrides = {},
	): void {
		mkdirSync(this.folder, {recursive: true});
		writeSettings(daemon, {
			daemons: this.daemons,
			peerAddressOf: (to) =>
				this.#proxies.get(`${daemon.daemonId}>${to.daemonId}`)?.address ??
				to.peerAddress,
			overrides: {...this.#options.settings, ...overrides},
		});
	}

	/** Waits until all running daemons are ready. */
	async waitUntilReady(timeoutMs = 30_000): Promise<void> {
		await Promise.all(
			this.daemons
				.filter((daemon) => daemon.running)
				.map(async (daemon) => daemon.waitUntilReady(timeoutMs)),
		);
	}

	/** Starts the stopped daemons and waits until all are ready. */
	async restartStopped(): Promise<void> {
		for (const daemon of this.daemons) {
			if (!daemon.running) {
				daemon.start();
			}
		}

		await this.waitUntilReady();
	}

	/** Returns the proxy of the link over which one daemon connects to another. */
	link(from: string, to: string): TcpProxy {
		const proxy = this.#proxies.get(`${from}>${to}`);
		if (!proxy) {
			throw new Error(`The link ${from}>${to} has no proxy.`);
		}

		return proxy;
	}

	/**
	 * Silences all links of a daemon: `outgoing` drops the bytes that it sends, `incoming` those that it
	 * would receive. Applies to existing and new connections.
	 */
	isolate(daemonId: string, direction: 'incoming' | 'outgoing' | 'both'): void {
		for (const other of this.daemons) {
			if (other.daemonId === daemonId) {
				continue;
			}

			const options = {newConnections: true};
			const outgoingLink = this.link(daemonId, other.daemonId);
			const incomingLink = this.link(other.daemonId, daemonId);
			if (direction !== 'incoming') {
				outgoingLink.silence('to-server', options);
				incomingLink.silence('to-client', options);
			}

			if (direction !== 'outgoing') {
				outgoingLink.silence('to-client', options);
				incomingLink.silence('to-server', options);
			}
		}
	}

	/** Ends all faults on all links. */
	heal(): void {
		for (const proxy of this.#proxies.values()) {
			proxy.heal();
		}
	}

	/** Returns the last lines of all logs, for the message of a failed test. */
	describeLogs(lineCount = 15): string {
		return this.daemons
			.filter((daemon) => existsSync(daemon.logFile))
			.map((daemon) => {
				const lines = daemon.readLog().trimEnd().split('\n');
				const status = daemon.exitStatus
					? ` (exited: ${JSON.stringify(daemon.exitStatus)})`
					: '';
				return `--- ${daemon.daemonId}${status}\n${lines.slice(-lineCount).join('\n')}`;
			})
			.join('\n');
	}

	/** Kills all daemons, stops the proxies, and removes the folder unless `keepFolder` is set. */
	async stop({keepFolder = false} = {}): Promise<void> {
		await Promise.all(this.daemons.map(async (daemon) => daemon.kill()));
		await Promise.all(
			[...this.#proxies.values()].map(async (proxy) => proxy.stop()),
		);
		if (!keepFolder) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}

	async #startProxies(): Promise<void> {
		for (const from of this.daemons) {
			for (const to of this.daemons) {
				if (from !== to) {
					this.#proxies.set(
						`${from.daemonId}>${to.daemonId}`,
						await new TcpProxy(to.peerAddress).start(),
					);
				}
			}
		}
	}
}
