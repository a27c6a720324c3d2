import {createConfiguration} from '../../platform/src/testing/configuration.ts';
import {
	Deployment,
	type DeploymentOptions,
} from '../../platform/src/testing/deployment.ts';
import {
	FakeServer,
	type ServerBehaviour,
} from '../../platform/src/testing/fake-server.ts';
import type {CaseContext} from './run-case.ts';

/** Host of all routes. */
export const HOST = 'test.example';

/** Limits of clients, as in the example configuration of the pages. */
const CLIENT_LIMITS = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 4_194_304,
	headerTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};

/** Resources of an `edge` machine of the smaller deployments, as their sheets state them. */
export const EDGE_LIMITS = {
	cpuShare: 0.675,
	cpuCores: 1,
	memoryMb: 200,
	maxFds: 4100,
	linkMbps: 1000,
};

/** A deployment with its servers. */
export type SmallDeployment = {
	deployment: Deployment;
	desks: FakeServer[];
	models: FakeServer[];
};

/**
 * Starts three control daemons, three state daemons and some entries as separate processes, in front of sound
 * stand-ins of servers.
 */
export const startSmallDeployment = async (
	{onEnd, record}: CaseContext,
	{
		desk = {pauseMs: 100},
		model = {events: 3, pauseMs: 20},
		configuration = {},
		...options
	}: DeploymentOptions & {
		desk?: Partial<ServerBehaviour>;
		model?: Partial<ServerBehaviour>;
		configuration?: Record<string, unknown>;
	} = {},
): Promise<SmallDeployment> => {
	const create = (service: string, behaviour: Partial<ServerBehaviour>) =>
		['a', 'b', 'c'].map(
			(zone) =>
				new FakeServer(
					{id: `${service}-${zone}`, service, zone: `zone-${zone}`},
					behaviour,
				),
		);
	const desks = create('desk', desk);
	const models = create('models', model);
	const deployment = await Deployment.start([...desks, ...models], {
		entries: 2,
		limits: EDGE_LIMITS,
		...options,
	});
	onEnd(async () => deployment.stop());
	await deployment.putConfiguration({
		...createConfiguration({version: 1, hostname: HOST}),
		limits: CLIENT_LIMITS,
		...configuration,
	});
	await deployment.waitUntilReady();
	record(
		`ready: ${[...deployment.nodes.keys()].join(', ')}; configuration 1 acknowledged`,
	);
	return {deployment, desks, models};
};
