// Measures how long a shard owner's routing decision takes with different numbers of servers; needs `npm run build`.
import {setTimeout as sleep} from 'node:timers/promises';
import {ConfigurationView} from '../packages/configuration/dist/index.js';
import {OpenCallLoads} from '../packages/daemon/dist/owner/open-call-loads.js';
import {ObservedSpeeds} from '../packages/daemon/dist/owner/observed-speeds.js';
import {routeCall} from '../packages/daemon/dist/owner/route-call.js';
import {UpstreamsService} from '../packages/daemon/dist/services/upstreams-service.js';

const daemonCount = 420;
const decisions = Number(process.argv[2] ?? 400);

const createView = (servers) => {
	const view = new ConfigurationView();
	const selector = {
		kind: 'Selector',
		name: 'all',
		labels: {},
		spec: {programs: {}, upstreams: {fleet: 'main'}, priority: 0},
	};
	const upstreams = Array.from({length: servers}, (_, index) => ({
		kind: 'Upstream',
		name: `engine-${index}`,
		labels: {fleet: 'main'},
		spec: {
			type: 'engine',
			address: `http://127.0.0.1:${10_000 + index}`,
			zone: `zone-${index % 12}`,
			models: ['agent-large'],
			slots: 8,
			checksFencing: true,
		},
	}));
	view.applyUpdate({
		full: [selector, ...upstreams],
		digest: {revision: 1, hash: 'time-routing'},
	});
	return view;
};

const createCore = async (servers) => {
	const readyDaemons = Array.from(
		{length: daemonCount},
		(_, index) => `d${index}`,
	);
	const listeners = [];
	const configuration = {
		view: createView(servers),
		readyDaemons,
		members: new Map(
			readyDaemons.map((id) => [id, {incarnation: `incarnation-${id}`}]),
		),
		onChange: (listener) => listeners.push(listener),
		exchangeNotices() {},
	};
	const context = {
		settings: {
			// Not a member of the cluster, so that it sends no health checks over the network.
			daemonId: 'd-outside',
			timing: {healthCheckMs: 3_600_000},
			policy: {latencyWeight: 1, cacheWeight: 1},
			limits: {bytesPerToken: 4},
			cluster: {shardCount: 4},
		},
		logger: {info() {}, debug() {}, warn() {}},
	};
	const upstreams = new UpstreamsService(context);
	await upstreams.start({get: () => configuration});
	for (const listener of listeners) {
		listener();
	}

	return {context, configuration, upstreams, speeds: new ObservedSpeeds()};
};

const createRequest = (servers) => ({
	program: {
		programId: 'p0-timed',
		callerId: 'caller',
		labels: {agent: 'timed'},
		deadlineMs: 1e12,
		nextTurn: 2,
		historyBytes: 80_000,
		cachedTokens: 20_000,
		holds: [
			{
				upstreamId: `engine-${Math.floor(Math.random() * servers)}`,
				heldTurn: 1,
			},
		],
	},
	target: {model: 'agent-large'},
	zone: 'zone-1',
	promptTokens: 20_200,
	completionTokens: 256,
});

for (const servers of [12, 170, 1700]) {
	const core = await createCore(servers);
	const loads = new OpenCallLoads();
	// The health checks of a daemon request the dispatcher of every upstream once per second.
	for (const {name} of core.configuration.view.upstreams) {
		core.upstreams.dispatcherOf(name);
	}

	const durationsMs = [];
	for (let decision = 0; decision < decisions; decision++) {
		const request = createRequest(servers);
		const startedAtMs = performance.now();
		routeCall(core, loads, request);
		durationsMs.push(performance.now() - startedAtMs);
		if (decision % 50 === 0) {
			await sleep(1);
		}
	}

	durationsMs.sort((a, b) => a - b);
	console.log(
		`servers=${servers} decisions=${decisions} medianMs=${durationsMs[decisions / 2].toFixed(4)} p95Ms=${durationsMs[decisions * 0.95].toFixed(4)}`,
	);
	await core.upstreams.stop();
}
