import {setTimeout as sleep} from 'node:timers/promises';
import {type DaemonProcess, TestBed} from '@marjoramcove/test-support';
import {type ProcessUsage, readProcessUsage} from './process-usage.ts';
import type {Row} from './row.ts';

const DAEMON_COUNTS = [4, 8, 16, 32];
/** Numbers of concurrent programs in the measurement under load. */
const CONCURRENCIES = [0, 4, 16, 48];
const LOADED_DAEMONS = 8;
const STABILIZE_MS = 3000;
const SAMPLE_MS = 10_000;
const ANSWER_TOKENS = 16;

/** Default timings of the daemon; the test launcher uses shorter ones. */
const DEFAULT_TIMING = {
	heartbeatMs: 1000,
	electionTimeoutMinMs: 1000,
	electionTimeoutMaxMs: 2000,
	configurationLeaseMs: 5000,
	streamSilenceMs: 5000,
	linkHeartbeatMs: 1000,
	linkTimeoutMs: 3000,
	requestTimeoutMs: 10_000,
	openIntentSweepMs: 1000,
	healthCheckMs: 1000,
	callerHeartbeatMs: 5000,
};

export const CONTROL_COLUMNS = [
	'scenario',
	'load',
	'policy',
	'daemons',
	'callsPerSecond',
	'cpuPercent',
	'residentMegabytes',
	'privateMegabytes',
	'kilobytesPerSecond',
	'cpuMsPerCall',
	'kilobytesPerCall',
];

type Role = 'leader' | 'state' | 'entry';

type Sample = {role: Role; before: ProcessUsage; after: ProcessUsage};

const findLeader = async (bed: TestBed): Promise<string> => {
	const answer = await bed
		.caller('d1')
		.send<{leaderId: string}>('GET', '/v1/operator/daemons');
	return answer.body.leaderId;
};

const sampleDaemons = async (
	bed: TestBed,
	work: () => Promise<void>,
): Promise<Sample[]> => {
	const leaderId = await findLeader(bed);
	const roleOf = (daemon: DaemonProcess): Role =>
		daemon.daemonId === leaderId
			? 'leader'
			: daemon.hasDisk
				? 'state'
				: 'entry';
	const usageBefore = bed.cluster.daemons.map((daemon) => ({
		daemon,
		before: readProcessUsage(daemon.pid!),
	}));
	await work();
	return usageBefore.map(({daemon, before}) => ({
		role: roleOf(daemon),
		before,
		after: readProcessUsage(daemon.pid!),
	}));
};

const mean = (values: number[]): number =>
	values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const summarizeByRole = (
	samples: Sample[],
	key: {load: string; daemons: number; seed: number},
	calls: number,
): Row[] =>
	(['leader', 'state', 'entry'] as const).map((role) => {
		const members = samples.filter((sample) => sample.role === role);
		const seconds = members.map(
			({before, after}) => (after.atMs - before.atMs) / 1000,
		);
		const cpuMs = members.map(({before, after}) => after.cpuMs - before.cpuMs);
		const kilobytes = members.map(
			({before, after}) =>
				(after.readBytes +
					after.writtenBytes -
					before.readBytes -
					before.writtenBytes) /
				1000,
		);
		const sum = (values: number[]) => mean(values) * values.length;
		return {
			scenario: 'control',
			policy: role,
			...key,
			callsPerSecond: calls / Math.max(1, mean(seconds)),
			cpuPercent: mean(cpuMs) / mean(seconds) / 10,
			residentMegabytes: mean(
				members.map(({after}) => after.residentBytes / 1_048_576),
			),
			privateMegabytes: mean(
				members.map(({after}) => after.privateBytes / 1_048_576),
			),
			kilobytesPerSecond: mean(kilobytes) / mean(seconds),
			cpuMsPerCall: calls > 0 ? sum(cpuMs) / calls : null,
			kilobytesPerCall: calls > 0 ? sum(kilobytes) / calls : null,
		};
	});

const measureIdle = async (daemons: number, seed: number): Promise<Row[]> => {
	const bed = await TestBed.start({
		daemonCount: daemons,
		engineCount: 2,
		settings: {timing: DEFAULT_TIMING},
	});
	try {
		await sleep(STABILIZE_MS);
		const samples = await sampleDaemons(bed, async () => sleep(SAMPLE_MS));
		return summarizeByRole(
			samples,
			{load: `${daemons} daemons idle`, daemons, seed},
			0,
		);
	} finally {
		await bed.stop();
	}
};

const runPrograms = async (
	bed: TestBed,
	concurrency: number,
): Promise<number> => {
	const endMs = performance.now() + SAMPLE_MS;
	let calls = 0;
	const entries = bed.cluster.daemons.filter((daemon) => !daemon.hasDisk);
	const runCaller = async (index: number) => {
		const caller = bed.caller(entries[index % entries.length]!.daemonId);
		while (performance.now() < endMs) {
			const programId = await caller.openProgram({
				labels: {agent: 'entry-coaching'},
				callerId: `caller-${index}`,
			});
			for (let turn = 0; turn < 8 && performance.now() < endMs; turn++) {
				const answer = await caller.callModel(
					programId,
					`turn ${turn} [tokens=${ANSWER_TOKENS}]`,
				);
				if (answer.status !== 200) {
					throw new Error(
						`Model call failed with status ${answer.status}: ${JSON.stringify(answer.body)}`,
					);
				}

				calls++;
			}

			await caller.endProgram(programId);
		}
	};

	await Promise.all(
		Array.from({length: concurrency}, async (_, index) => runCaller(index)),
	);
	await sleep(Math.max(0, endMs - performance.now()));
	return calls;
};

const measureUnderLoad = async (seed: number): Promise<Row[]> => {
	const bed = await TestBed.start({
		daemonCount: LOADED_DAEMONS,
		engineCount: 4,
		settings: {timing: DEFAULT_TIMING},
		engineOptions: {
			prefillTokensPerSecond: 1_000_000,
			decodeTokensPerSecond: 1000,
			slots: 32,
		},
	});
	const rows: Row[] = [];
	try {
		await sleep(STABILIZE_MS);
		for (const concurrency of CONCURRENCIES) {
			let calls = 0;
			const samples = await sampleDaemons(bed, async () => {
				calls = await runPrograms(bed, concurrency);
			});
			rows.push(
				...summarizeByRole(
					samples,
					{load: `${concurrency} callers`, daemons: LOADED_DAEMONS, seed},
					calls,
				),
			);
		}
	} finally {
		await bed.stop();
	}

	return rows;
};

/**
 * Measures the resource usage of real daemons by role: idle with several numbers of daemons, then under
 * load. The `policy` column contains the role. Works on Linux only, because it reads `/proc`.
 */
export const runControl = async (seed: number): Promise<Row[]> => {
	const rows: Row[] = [];
	for (const daemons of DAEMON_COUNTS) {
		rows.push(...(await measureIdle(daemons, seed)));
	}

	return [...rows, ...(await measureUnderLoad(seed))];
};
