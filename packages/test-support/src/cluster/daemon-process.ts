import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {waitFor} from '../wait-for.ts';

/** Path of the built daemon binary. */
export const daemonBinary = fileURLToPath(
	new URL('../../../daemon/dist/bin.js', import.meta.url),
);

/** Node.js options; the same as in the first line of the daemon binary. */
const DAEMON_NODE_OPTIONS = ['--max-semi-space-size=1'];

const children = new Set<ChildProcess>();

// A process that exits without stopping its cluster must not leave daemons running. Test runner workers
// exit without this event; there a failed set-up stops its cluster itself.
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/** Exit code or signal of a daemon process. */
export type ExitStatus = {code: number | null; signal: string | null};

/** One `marjoramcoved` process with its settings file and log. */
export class DaemonProcess {
	readonly daemonId: string;
	readonly zone: string;
	readonly hasDisk: boolean;
	readonly httpAddress: string;
	readonly peerAddress: string;
	readonly settingsFile: string;
	readonly dataFolder: string;
	readonly logFile: string;
	exitStatus: ExitStatus | undefined;
	#child: ChildProcess | undefined;

	constructor(options: {
		daemonId: string;
		zone: string;
		hasDisk: boolean;
		httpAddress: string;
		peerAddress: string;
		folder: string;
	}) {
		this.daemonId = options.daemonId;
		this.zone = options.zone;
		this.hasDisk = options.hasDisk;
		this.httpAddress = options.httpAddress;
		this.peerAddress = options.peerAddress;
		this.settingsFile = path.join(options.folder, `${options.daemonId}.yaml`);
		this.dataFolder = path.join(options.folder, `${options.daemonId}-data`);
		this.logFile = path.join(options.folder, `${options.daemonId}.log`);
	}

	get url(): string {
		return `http://${this.httpAddress}`;
	}

	get pid(): number | undefined {
		return this.#child?.pid;
	}

	get running(): boolean {
		return this.#child !== undefined && this.exitStatus === undefined;
	}

	/** Starts the process and appends its output to the log file. */
	start(env: Record<string, string> = {}): void {
		const log = openSync(this.logFile, 'a');
		const child = spawn(
			process.execPath,
			[...DAEMON_NODE_OPTIONS, daemonBinary, '--settings', this.settingsFile],
			{stdio: ['ignore', log, log], env: {...process.env, ...env}},
		);
		closeSync(log);
		this.exitStatus = undefined;
		this.#child = child;
		children.add(child);
		child.once('exit', (code, signal) => {
			children.delete(child);
			if (this.#child === child) {
				this.exitStatus = {code, signal};
			}
		});
	}

	/** Sends a signal to the process; returns false when it has exited. */
	signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): boolean {
		return this.running && this.#child!.kill(signal);
	}

	/** Waits until the process has exited. */
	async waitForExit(timeoutMs = 30_000): Promise<ExitStatus> {
		const child = this.#child;
		if (child && this.exitStatus === undefined) {
			await once(child, 'exit', {signal: AbortSignal.timeout(timeoutMs)});
		}

		return waitFor(`exit of ${this.daemonId}`, () => this.exitStatus);
	}

	/** Kills the process and waits until it has exited. */
	async kill(): Promise<void> {
		if (this.running) {
			this.signal('SIGKILL');
			await this.waitForExit();
		}
	}

	/**
	 * Waits until `/readyz` returns 200.
	 *
	 * @throws Error when the process exits or the timeout passes.
	 */
	async waitUntilReady(timeoutMs = 30_000): Promise<void> {
		await waitFor(
			`${this.daemonId} to be ready or to exit`,
			async () => this.exitStatus !== undefined || this.isReady(),
			{timeoutMs},
		);
		if (this.exitStatus) {
			throw new Error(
				`${this.daemonId} exited: ${JSON.stringify(this.exitStatus)}`,
			);
		}
	}

	async isReady(): Promise<boolean> {
		const answer = await request(`${this.url}/readyz`, {
			headersTimeout: 2000,
			bodyTimeout: 2000,
		});
		await answer.body.dump();
		return answer.statusCode === 200;
	}

	/** Returns the current content of the log file. */
	readLog(): string {
		return readFileSync(this.logFile, 'utf8');
	}
}
