import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdir, mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fetchOnce} from './http.mjs';
import {sheet} from './sheet.mjs';

const root = path.resolve(import.meta.dirname, '../..');

/** Longest wait for a state of the deployment. */
const WAIT_TIMEOUT_MS = 30_000;

/** Time after which the platform starts a process again that ended by itself. */
const RESTART_DELAY_MS = 500;

const ZONES = ['attica-a', 'attica-b', 'attica-c'];

/** Resources of a machine of each role, as in the sheet of the deployment `piato-ath`. */
const LIMITS_BY_ROLE = {
	entry: {
		cpuShare: 0.675,
		memoryMb: 350,
		maxFds: 4100,
		linkMbps: 1000,
		diskMb: 0,
	},
	control: {
		cpuShare: 1.62,
		memoryMb: 346,
		maxFds: 4096,
		linkMbps: 1000,
		diskMb: 128,
	},
	state: {
		cpuShare: 1.35,
		memoryMb: 390,
		maxFds: 8200,
		linkMbps: 600,
		diskMb: 520,
	},
};

/** Number of machines of each role. */
const COUNT_BY_ROLE = {control: 3, state: 3, entry: 2};

const SERVES_BY_ROLE = {
	entry: ['edge'],
	control: ['control_plane', 'registry'],
	state: ['storage'],
};

/** Reads the command of each role from the deploy file. */
const readCommands = async () => {
	const text = await readFile(path.join(root, 'deploy/system.toml'), 'utf8');
	const commands = {};
	for (const section of text.split(/^\[roles\./mu).slice(1)) {
		const {role} = /^(?<role>[^\]]+)\]/u.exec(section).groups;
		const {run} = /^run = "(?<run>[^"]+)"/mu.exec(section).groups;
		commands[role] = run.split(' ');
	}

	return commands;
};

/** Reserves free ports; the daemons use them at loopback addresses of their own. */
const reservePorts = async (count) => {
	const servers = [];
	for (let index = 0; index < count; index++) {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		servers.push(server);
	}

	const ports = servers.map((server) => server.address().port);
	await Promise.all(
		servers.map(async (server) => {
			server.close();
			await once(server, 'close');
		}),
	);
	return ports;
};

/** Polls until the condition holds; one that throws does not hold. */
export const waitUntil = async (description, condition) => {
	const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
	while (performance.now() < deadlineMs) {
		try {
			if (await condition()) {
				return;
			}
		} catch {
			// Connections are refused while a daemon starts.
		}

		await sleep(50);
	}

	throw new Error(`Timed out waiting until ${description}.`);
};

/** The platform's list of servers. */
class ServerList {
	servers = [];
	#server = createServer((request, response) => {
		response.setHeader('Content-Type', 'application/json');
		response.end(
			JSON.stringify({
				instances: this.servers.map((server) => server.describe()),
				next: null,
			}),
		);
	});

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

/** A deployment of the project's own programs, each in a process and at a loopback address of its own. */
export class Deployment {
	list = new ServerList();
	nodes = new Map();
	/** Processes that ended without a signal of the test. */
	unexpectedExits = [];
	#record;
	#restartsEnded;
	#isStopping = false;
	#folder;
	#commands;
	#ports;
	#subnet = 1 + (process.pid % 250);

	/**
	 * @param options.restartsEnded - whether a process that ends by itself is started again, as the platform does.
	 * @param options.record - called with a line for each process that has ended.
	 */
	constructor({restartsEnded = false, record}) {
		this.#restartsEnded = restartsEnded;
		this.#record = record;
	}

	/** Starts three control daemons, three state daemons and two entries before the servers of the list. */
	async start(servers) {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'review-'));
		this.#commands = await readCommands();
		const [control, directory, front, link, ready] = await reservePorts(5);
		this.#ports = {control, directory, front, link, ready};
		await this.list.start();
		for (const server of servers) {
			await server.start();
			this.list.servers.push(server);
		}

		let number = 1;
		for (const [role, count] of Object.entries(COUNT_BY_ROLE)) {
			for (let index = 0; index < count; index++) {
				const name = `${role}-${index}`;
				const ip = `127.91.${this.#subnet}.${number++}`;
				const zone = ZONES[index % ZONES.length];
				this.nodes.set(name, {name, role, ip, zone});
			}
		}

		for (const name of this.nodes.keys()) {
			await this.startNode(name, {isFirstStart: true});
		}
	}

	async startNode(name, {isFirstStart = false} = {}) {
		const node = this.nodes.get(name);
		const file = path.join(this.#folder, `${name}.yaml`);
		const dataDir = path.join(this.#folder, name);
		await mkdir(dataDir, {recursive: true});
		// JSON is valid YAML.
		await writeFile(file, JSON.stringify(this.#settings(node, isFirstStart)));
		if (this.#isStopping) {
			throw new Error('The deployment is being stopped.');
		}

		const [program, ...args] = this.#commands[node.role];
		const child = spawn(program, args, {
			cwd: root,
			env: {PATH: process.env.PATH, MARJORAMCOVE_NODE_FILE: file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		node.process = child;
		node.log = [];
		node.isExitExpected = false;
		node.hasExited = false;
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', (chunk) => {
				node.log.push(chunk.toString());
			});
		}

		child.once('exit', (code, signal) => {
			node.hasExited = true;
			this.#record?.(
				`${name} (pid ${child.pid}) ended: code ${code}, signal ${signal}${node.isExitExpected ? ', as asked by the test' : ''}`,
			);
			if (!node.isExitExpected) {
				this.unexpectedExits.push({name, code, signal});
				if (this.#restartsEnded) {
					setTimeout(() => {
						if (!this.#isStopping) {
							this.startNode(name);
						}
					}, RESTART_DELAY_MS);
				}
			}
		});
	}

	/** Sends a signal that ends a process and waits for its exit. */
	async end(name, signal) {
		const node = this.nodes.get(name);
		node.isExitExpected = true;
		if (node.process && !node.hasExited) {
			const exited = once(node.process, 'exit');
			node.process.kill(signal);
			await exited;
		}
	}

	/** Kills a process and deletes what is on its disk. */
	async loseDisk(name) {
		await this.end(name, 'SIGKILL');
		await rm(path.join(this.#folder, name), {recursive: true, force: true});
	}

	/** Host and port where a daemon serves a port by its name. */
	address(name, port) {
		return {host: this.nodes.get(name).ip, port: this.#ports[port]};
	}

	async call(name, port, options) {
		return fetchOnce(this.address(name, port), options);
	}

	/** Resident memory of a process in megabytes; `undefined` once it has ended. */
	async residentMb(name) {
		const {process: child, hasExited} = this.nodes.get(name);
		if (hasExited) {
			return undefined;
		}

		try {
			const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
			return Number(/VmRSS:\s+(?<kb>\d+)/u.exec(status)?.groups.kb) / 1000;
		} catch {
			return undefined;
		}
	}

	/** Sends a configuration to the control daemons in turn until one acknowledges it. */
	async putConfiguration(configuration) {
		const body = Buffer.from(JSON.stringify(configuration));
		await waitUntil('the configuration is acknowledged', async () => {
			for (const name of this.namesOf('control')) {
				const {status} = await this.call(name, 'control', {
					method: 'POST',
					target: '/Config.Replace',
					headers: [['Content-Type', 'application/json']],
					body,
				});
				if (status === 200) {
					return true;
				}
			}

			return false;
		});
	}

	/** Waits until daemons with the role entry are ready. */
	async waitUntilReady(names = this.namesOf('entry')) {
		for (const name of names) {
			await waitUntil(`${name} is ready`, async () => {
				const {status} = await this.call(name, 'ready', {target: '/ready'});
				return status === 200;
			});
		}
	}

	namesOf(role) {
		return [...this.nodes.values()]
			.filter((node) => node.role === role)
			.map(({name}) => name);
	}

	async stop() {
		this.#isStopping = true;
		await Promise.all(
			[...this.nodes.keys()].map(async (name) => this.end(name, 'SIGKILL')),
		);
		this.list.stop();
		for (const server of this.list.servers) {
			server.stop();
		}

		await rm(this.#folder, {recursive: true, force: true, maxRetries: 3});
	}

	#settings({name, role, ip, zone}, isFirstStart) {
		const {control, directory, front, link, ready} = this.#ports;
		const listen = {
			entry: {front: `${ip}:${front}`, ready: `${ip}:${ready}`},
			control: {
				control: `${ip}:${control}`,
				directory: `${ip}:${directory}`,
			},
			state: {},
		}[role];
		return {
			nodeName: name,
			role,
			machineClass: {entry: 'edge', control: 'core', state: 'storage'}[role],
			serves: SERVES_BY_ROLE[role],
			ip,
			zone,
			region: 'attica',
			zones: Object.fromEntries(ZONES.map((known) => [known, 'attica'])),
			listen,
			internalPorts: [link, link],
			seedNodes: this.namesOf('control')
				.slice(0, 3)
				.map((seed) => `${this.nodes.get(seed).ip}:${control}`),
			bootstrap: isFirstStart,
			inFaultBudget: role !== 'entry',
			limits: {...LIMITS_BY_ROLE[role], cpuCores: 1},
			dataDir: role === 'entry' ? null : path.join(this.#folder, name),
			discovery: 'cloud',
			entry: 'registry',
			heartbeatMs: 1200,
			contracts: [
				'base',
				'drain',
				'config',
				'cost',
				'recover',
				'agent',
				'stream',
				'engine',
			],
			faultTolerance: {machines: 1, zones: 0, regions: 0},
			bounds: sheet.bounds,
			configMode: 'highest',
			cloud: {
				address: this.list.address,
				ratePerS: 44,
				duties: [],
				maxLagMs: 800,
			},
		};
	}
}
