import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Deployment} from './deployment.mjs';
import {Server} from './server.mjs';
import {sheet} from './sheet.mjs';

export const HOST = 'desk.example';

/** A configuration as the platform's pages show it, with a route of each kind. */
export const createConfiguration = (version = 1) => {
	const route = (name, pathPrefix, kind, changes) => ({
		name,
		hostname: HOST,
		pathPrefix,
		kind,
		timeoutMs: 3000,
		targetLatencyMs: 200,
		priority: 1,
		maxAttempts: 1,
		retainHistory: false,
		retentionS: 60,
		stickySessions: false,
		resumable: false,
		targetGapMs: 300,
		...changes,
	});
	return {
		version,
		routes: [
			route('turns', '/turns/', 'streaming', {
				service: 'models',
				retainHistory: true,
				stickySessions: true,
			}),
			route('orders', '/orders/', 'non_idempotent', {service: 'desk'}),
			route('lookups', '/lookups/', 'idempotent', {
				service: 'desk',
				maxAttempts: 2,
			}),
		],
		services: [
			{
				name: 'models',
				healthPath: '/health',
				maxConnections: 240,
				protocol: 'h1',
				tls: false,
				engine: sheet.engine,
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

/** Zones of the servers of each service. */
const MODEL_ZONES = ['attica-a', 'attica-b', 'attica-c'];
const DESK_ZONES = ['attica-a', 'attica-a', 'attica-b', 'attica-c'];

/** Time without a start or an end of a process after which all machines are in touch (`contactMs`), with a margin. */
const IN_TOUCH_MS = 3500;

/** Longest time of a case; the users run it for 120 seconds at most. */
const MAX_CASE_MS = 105_000;

let nextId = 1;

/** Returns a request id that was not used before. */
export const createId = () =>
	`9c41d07b${(nextId++).toString(16).padStart(8, '0')}`;

/** Headers of a turn of a program. */
export const turnHeaders = (programId, previousTurnId) => [
	['Program-Id', programId],
	['Session-Id', programId],
	['Program-Deadline-Ms', 60_000],
	['Token-Budget', 46_000],
	['Token-Usage', '40,575'],
	['Model', 'm'],
	['Prompt-Prefix', '5c1e07a2:40'],
	...(previousTurnId === undefined ? [] : [['Previous-Turn', previousTurnId]]),
];

/**
 * Runs a case against a deployment and ends the process: with 1 if the rule was broken, with 0 if it held, and
 * with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.
 */
export const runCase = async (folder, play, options = {}) => {
	const isTroubled = process.env.TROUBLE !== '0';
	const startedAtMs = performance.now();
	const lines = [];
	const record = (line) => {
		const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(2);
		lines.push(`${seconds.padStart(7)} s  ${line}`);
		process.stdout.write(`${lines.at(-1)}\n`);
	};

	let code = 2;
	let deployment;
	const finish = async () => {
		try {
			await deployment?.stop();
		} finally {
			await writeFile(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
			process.exit(code);
		}
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			record(`ended by ${signal}`);
			finish();
		});
	}

	process.once('uncaughtException', (error) => {
		record(`the case failed: ${error.stack}`);
		finish();
	});
	setTimeout(() => {
		record(`the case did not end within ${MAX_CASE_MS} ms`);
		finish();
	}, MAX_CASE_MS).unref();
	record(isTroubled ? 'with the disruption' : 'without the disruption');
	try {
		const servers = [
			...MODEL_ZONES.map(
				(zone, index) =>
					new Server({
						id: `i-models-${index}`,
						service: 'models',
						zone,
						events: 3,
					}),
			),
			...DESK_ZONES.map(
				(zone, index) =>
					new Server({id: `i-desk-${index}`, service: 'desk', zone}),
			),
		];
		deployment = new Deployment({...options, record});
		await deployment.start(servers);
		await deployment.putConfiguration(createConfiguration());
		await deployment.waitUntilReady();
		await sleep(IN_TOUCH_MS);
		record('the deployment is ready and all machines are in touch');
		const isBroken = await play({deployment, servers, isTroubled, record});
		record(isBroken ? 'the rule was broken' : 'the rule held');
		code = isBroken ? 1 : 0;
	} catch (error) {
		record(`the case could not run: ${error.stack}`);
	}

	await finish();
};
