// Starts the project's programs as separate processes on loopback addresses, with stand-ins of the servers,
// of their list, of clients and of the operator. Needs nothing but Node.js and the built bundle.
import {spawn} from 'node:child_process';
import {
	appendFileSync,
	createWriteStream,
	mkdirSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

export {setTimeout as sleep} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '../..');

/** Longest time of a script. */
const SCRIPT_TIMEOUT_MS = 115_000;

const START_TIMEOUT_MS = 40_000;

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Whether the script applies its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The command of a role in the deploy file, split at spaces as the platform does. */
const readCommand = (role) => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1];
	return /^run = "(?<run>[^"]+)"/mu.exec(section).groups.run.split(' ');
};

const reservePorts = async (count) => {
	const servers = [];
	for (let index = 0; index < count; index++) {
		const server = net.createServer();
		await new Promise((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		servers.push(server);
	}

	const ports = servers.map((server) => server.address().port);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.close(resolve);
				}),
		),
	);
	return ports;
};

const listen = async (server, host = '127.0.0.1') =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, () => {
			resolve(`${host}:${server.address().port}`);
		});
	});

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class Recorder {
	#startedAtMs = performance.now();
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		writeFileSync(this.#file, `trouble=${hasTrouble}\n`);
	}

	write(text) {
		const elapsedS = (performance.now() - this.#startedAtMs) / 1000;
		const line = `${elapsedS.toFixed(3).padStart(8)} ${text}\n`;
		appendFileSync(this.#file, line);
		process.stdout.write(line);
	}
}

/** Sends one HTTP request on a connection of its own and reads the whole response. */
export const call = async (
	address,
	target,
	{method = 'GET', headers = {}, body = '', timeoutMs = 5000} = {},
) =>
	new Promise((resolve) => {
		const [host, port] = address.split(':');
		const chunks = [];
		const startedAtMs = performance.now();
		const finish = (result) => {
			clearTimeout(timer);
			resolve({
				...result,
				body: Buffer.concat(chunks).toString('latin1'),
				durationMs: Math.round(performance.now() - startedAtMs),
			});
		};

		const request = http.request({
			host,
			port,
			path: target,
			method,
			headers: {...headers, 'Content-Length': Buffer.byteLength(body)},
			agent: false,
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('the client gave up'));
		}, timeoutMs);
		request.on('error', (error) => {
			finish({isComplete: false, error: error.message});
		});
		request.on('response', (response) => {
			const {statusCode: status, headers: responseHeaders} = response;
			response.on('data', (chunk) => {
				chunks.push(chunk);
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				finish({
					status,
					headers: responseHeaders,
					isComplete: response.complete,
				});
			});
		});
		request.end(body);
	});

/** Polls a condition until it holds; a condition that throws counts as not met. */
export const waitUntil = async (
	what,
	condition,
	timeoutMs = START_TIMEOUT_MS,
) => {
	const deadlineMs = performance.now() + timeoutMs;
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

	throw new Error(`timed out waiting until ${what}`);
};

/** The platform's list of servers. */
export class ServerList {
	entries = [];
	address = '';
	#server = http.createServer((_request, response) => {
		response.setHeader('Content-Type', 'application/json');
		response.end(
			JSON.stringify({
				instances: this.entries.map((entry) => ({
					zone: 'zone-a',
					version: 'v1',
					slots: 8,
					state: 'ready',
					coldRemainingMs: 0,
					born: 1_700_000_000_000,
					...entry,
				})),
				next: null,
			}),
		);
	});

	async start() {
		this.address = await listen(this.#server);
	}

	stop() {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

/**
 * A sound server: refuses requests for other instances, records the requests that it runs, and answers as
 * its handler says.
 */
export class StandInServer {
	runs = [];
	address = '';
	#server;

	/** @param onRun - called with each request that runs; has to answer it. */
	constructor({id, service, onRun, onRequest}) {
		this.id = id;
		this.service = service;
		this.#server = http.createServer(async (request, response) => {
			const requestId = request.headers['request-id'];
			onRequest?.({request, requestId});
			const chunks = [];
			try {
				for await (const chunk of request) {
					chunks.push(chunk);
				}
			} catch {
				return;
			}

			response.on('error', () => undefined);
			if (requestId !== undefined) {
				response.setHeader('Request-Id', requestId);
			}

			const target = request.headers['target-instance'];
			if (request.url === '/health') {
				response.setHeader('Instance-Id', id);
				response.end();
			} else if (target !== undefined && target !== id) {
				response.setHeader('Not-Executed', '1');
				response.writeHead(421).end();
			} else if (requestId === undefined) {
				response.setHeader('Not-Executed', '1');
				response.writeHead(400).end();
			} else {
				const run = {
					requestId,
					method: request.method,
					target: request.url,
					headers: request.headers,
					body: Buffer.concat(chunks).toString('latin1'),
					atMs: performance.now(),
				};
				this.runs.push(run);
				await onRun({run, request, response, server: this});
			}
		});
		this.#server.keepAliveTimeout = 10_000;
	}

	async start() {
		this.address = await listen(this.#server);
	}

	describe() {
		const {id, service, address} = this;
		return {id, service, address};
	}

	stop() {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

/** The signature that a server gives to an answer. */
export const signatureOf = (requestId) => `3e1b.07.${requestId}`;

/** Three control daemons, three state daemons and some entries, each a process of its own. */
export class Deployment {
	nodes = new Map();
	list = new ServerList();
	hostname = 'ficu95.example';
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#subnet = 1 + (process.pid % 250);
	#ports = {};
	#graceS;

	constructor({graceS = 8} = {}) {
		this.#graceS = graceS;
	}

	get folder() {
		return this.#folder;
	}

	/** Starts the stand-ins and all daemons. */
	async launch({entries = 2, servers}) {
		const [control, directory, front, ready, link] = await reservePorts(5);
		this.#ports = {control, directory, front, ready, link, metrics: 9464};
		await this.list.start();
		this.servers = servers;
		for (const server of servers) {
			await server.start();
		}

		this.list.entries = servers.map((server) => server.describe());
		const roles = [
			...Array.from({length: 3}, () => 'control'),
			...Array.from({length: 3}, () => 'state'),
			...Array.from({length: entries}, () => 'entry'),
		];
		for (const [index, role] of roles.entries()) {
			const name = `${role}-${index}`;
			this.nodes.set(name, {
				name,
				role,
				ip: `127.91.${this.#subnet}.${index + 1}`,
				zone: ZONES[index % ZONES.length],
			});
		}

		for (const name of this.nodes.keys()) {
			this.startNode(name, {isFirstStart: true});
		}
	}

	/** Starts the stand-ins and all daemons, sends the first configuration and waits until entries are ready. */
	async start({entries, servers, document}) {
		await this.launch({entries, servers});
		await this.replaceDocument(document);
		for (const name of this.namesOf('entry')) {
			await waitUntil(`${name} is ready`, async () => {
				const {status} = await call(this.addressOf(name, 'ready'), '/ready');
				return status === 200;
			});
		}
	}

	namesOf(role) {
		return [...this.nodes.values()]
			.filter((node) => node.role === role)
			.map(({name}) => name);
	}

	addressOf(name, port) {
		return `${this.nodes.get(name).ip}:${this.#ports[port]}`;
	}

	startNode(name, {isFirstStart = false} = {}) {
		const node = this.nodes.get(name);
		const file = path.join(this.#folder, `${name}.yaml`);
		mkdirSync(path.join(this.#folder, name), {recursive: true});
		// JSON is valid YAML.
		writeFileSync(file, JSON.stringify(this.#settings(node, isFirstStart)));
		const [program, ...options] = readCommand(node.role);
		const child = spawn(program, options, {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: this.#folder,
				MARJORAMCOVE_NODE_FILE: file,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.#folder, `${name}.log`), {
			flags: 'a',
		});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		node.process = child;
		node.exit = undefined;
		node.ended = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				node.exit = {code, signal};
				resolve(node.exit);
			});
		});
	}

	signal(name, signal) {
		this.nodes.get(name).process.kill(signal);
	}

	/** Sends a configuration to the control daemons in turn until one acknowledges it. */
	async replaceDocument(document) {
		const body = JSON.stringify(document);
		await waitUntil('the configuration is acknowledged', async () => {
			for (const name of this.namesOf('control')) {
				const {status} = await call(
					this.addressOf(name, 'control'),
					'/Config.Replace',
					{
						method: 'POST',
						headers: {'Content-Type': 'application/json'},
						body,
						timeoutMs: 1000,
					},
				);
				if (status === 200) {
					return true;
				}
			}

			return false;
		});
	}

	/** Asks a control daemon for the addresses of entries, as clients do. */
	async resolve(zone) {
		const [control] = this.namesOf('control');
		const {status, body} = await call(
			this.addressOf(control, 'directory'),
			`/resolve?name=${this.hostname}&region=r&zone=${zone}`,
		);
		return status === 200 ? JSON.parse(body) : {addresses: [], ttlS: 0};
	}

	async stop() {
		for (const {process: child} of this.nodes.values()) {
			child?.kill('SIGKILL');
		}

		await Promise.all([...this.nodes.values()].map(async ({ended}) => ended));
		for (const server of this.servers ?? []) {
			server.stop();
		}

		this.list.stop();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#folder, {recursive: true, force: true});
		} else {
			process.stdout.write(`logs: ${this.#folder}\n`);
		}
	}

	#settings({name, role, ip, zone}, isFirstStart) {
		const {control, directory, front, ready, link} = this.#ports;
		const listen = {
			entry: {front: `${ip}:${front}`, ready: `${ip}:${ready}`},
			control: {
				control: `${ip}:${control}`,
				directory: `${ip}:${directory}`,
			},
			state: {},
		}[role];
		const classes = {entry: 'edge', control: 'core', state: 'storage'};
		return {
			nodeName: name,
			role,
			machineClass: classes[role],
			ip,
			zone,
			region: 'r',
			zones: Object.fromEntries(ZONES.map((id) => [id, 'r'])),
			listen,
			internalPorts: [link, link],
			seedNodes: this.namesOf('control').map((id) =>
				this.addressOf(id, 'control'),
			),
			bootstrap: isFirstStart,
			dataDir: role === 'entry' ? null : path.join(this.#folder, name),
			discovery: 'cloud',
			entry: 'registry',
			heartbeatMs: 1200,
			faultTolerance: {machines: 1, zones: 0, regions: 0},
			bounds: {
				seedLagS: 3,
				reuseAfterS: 2,
				contactMs: 3000,
				ackMs: 4000,
				catchUpS: 4.9,
				drainMs: 3000,
				graceS: this.#graceS,
				lossSlackMs: 200,
				configApplyMs: 2000,
				rollbackSlackMs: 250,
				outerBoundMs: 5000,
				recoveryS: 12,
				passMs: 120,
				retryAfterS: 0,
				finishS: 10,
				settleMs: 1000,
				// eslint-disable-next-line camelcase -- the platform's name
				ttl_max_s: 5,
			},
			configMode: 'highest',
			cloud: {address: this.list.address, ratePerS: 44, maxLagMs: 800},
		};
	}
}

/** Routes and services as on the sheet of a small deployment; `overrides` are merged by route name. */
export const createDocument = (
	version,
	hostname,
	{overrides = {}, routes = []} = {},
) => {
	const base = {
		hostname,
		targetLatencyMs: 250,
		priority: 0,
		maxAttempts: 1,
		retainHistory: false,
		retentionS: 60,
		stickySessions: false,
		resumable: false,
		targetGapMs: 400,
	};
	const all = [
		{
			...base,
			name: 'turns',
			pathPrefix: '/turns/',
			kind: 'streaming',
			timeoutMs: 4000,
			service: 'models',
			retainHistory: true,
			stickySessions: true,
		},
		{
			...base,
			name: 'orders',
			pathPrefix: '/orders/',
			kind: 'non_idempotent',
			timeoutMs: 3000,
			service: 'desk',
		},
		{
			...base,
			name: 'lookups',
			pathPrefix: '/lookups/',
			kind: 'idempotent',
			timeoutMs: 1200,
			service: 'desk',
			maxAttempts: 2,
		},
		...routes.map((route) => ({...base, ...route})),
	];
	return {
		version,
		routes: all.map((route) => ({...route, ...overrides[route.name]})),
		services: [
			{
				name: 'models',
				healthPath: '/health',
				maxConnections: 240,
				protocol: 'h1',
				tls: false,
				engine: {
					slots: 32,
					kvCapacityTokens: 1_028_987,
					kvTokenBytes: 18_432,
					linkMbps: 1_100_000,
					moves: true,
					backups: true,
					strideTokens: 25,
					most: 12,
					pinMs: 4000,
					holdMs: 2000,
					// eslint-disable-next-line camelcase -- the platform's name
					handle_s: 5,
					models: [{name: 'm'}],
				},
			},
			{
				name: 'desk',
				healthPath: '/health',
				maxConnections: 110,
				protocol: 'h1',
				tls: false,
			},
		],
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 4_194_304,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
	};
};

let nextId = 0;

/** A new request id. */
export const createId = () => {
	nextId++;
	return `${process.pid.toString(16).padStart(8, '0')}${nextId.toString(16).padStart(8, '0')}`;
};

/** Headers of a turn of a program. */
export const turnHeaders = (hostname, requestId, programId, extra = {}) => ({
	Host: hostname,
	'Request-Id': requestId,
	'Program-Id': programId,
	'Session-Id': `s-${programId}`,
	'Program-Deadline-Ms': '20000',
	'Token-Budget': '100000',
	'Token-Usage': '1460,300',
	Model: 'm',
	'Prompt-Prefix': `5c1e07a2:800,${programId}:250`,
	'Deadline-Ms': '4000',
	...extra,
});

/**
 * Runs a case: `play` returns the breaches of the rule. Exits with 1 if there are any, with 0 if there are
 * none and with 2 if the case could not run.
 */
export const runCase = async (folder, deployment, play) => {
	const recorder = new Recorder(folder);
	let code = 2;
	const timer = setTimeout(async () => {
		recorder.write('the case takes too long');
		await deployment.stop();
		process.exit(2);
	}, SCRIPT_TIMEOUT_MS);
	try {
		const breaches = await play(recorder);
		for (const breach of breaches) {
			recorder.write(`BROKEN: ${breach}`);
		}

		code = breaches.length > 0 ? 1 : 0;
	} catch (error) {
		recorder.write(`the case could not run: ${error.stack}`);
	}

	clearTimeout(timer);
	await deployment.stop();
	recorder.write(`exit ${code}`);
	process.exit(code);
};
