import {
	type ChangeCommand,
	type Resource,
	RESOURCE_KINDS,
	type ResourceChange,
	validateResource,
} from '@marjoramcove/configuration';
import type {GroupStatus} from '@marjoramcove/consensus';
import {
	MarjoramcoveError,
	ValidationError,
	messageOf,
} from '@marjoramcove/errors';
import type {ProgramDescription} from '@marjoramcove/programs';
import {
	asId,
	type DaemonId,
	type GroupId,
	type OperationId,
} from '@marjoramcove/types';
import * as z from 'zod';
import {configGroup, shardGroup} from '../services/replication-service.ts';
import type {EntryCore} from './entry-core.ts';
import {type Handler, parseBody, sendJson} from './http-responses.ts';

const maxListedPrograms = 1000;
const minChangeWaitMs = 20_000;

const changesSchema = z.strictObject({
	operationId: z.string().min(1).max(200),
	baseRevision: z.int().min(0),
	changes: z
		.array(
			z.union([
				z.strictObject({type: z.literal('apply'), resource: z.unknown()}),
				z.strictObject({
					type: z.literal('delete'),
					kind: z.enum(RESOURCE_KINDS),
					name: z.string().min(1).max(200),
				}),
			]),
		)
		.min(1)
		.max(10_000),
});

const parseResource = (value: unknown): Resource => {
	const result = validateResource(value);
	if ('problems' in result) {
		throw new ValidationError(
			result.problems.join('; '),
			'Correct the named keys; nothing was applied.',
		);
	}

	return result.resource;
};

/** `POST /v1/operator/changes`. */
export const createChangesRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const body = parseBody(request, changesSchema);
		const changes = body.changes.map((change): ResourceChange =>
			change.type === 'apply'
				? {type: 'apply', resource: parseResource(change.resource)}
				: change,
		);
		const command: ChangeCommand = {
			type: 'change',
			operationId: asId<OperationId>(body.operationId),
			baseRevision: body.baseRevision,
			changes,
		};
		const {configurationLeaseMs} = core.context.settings.timing;
		const outcome = await core.groups.call(
			configGroup,
			'config.change',
			{
				command,
				waitMs: Math.max(minChangeWaitMs, 2 * configurationLeaseMs),
			},
			{timeoutMs: Math.max(minChangeWaitMs, 2 * configurationLeaseMs) + 10_000},
		);
		sendJson(response, 200, outcome);
	};

/** `GET /v1/operator/resources[?kind=]`. */
export const createResourcesRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const {kind} = request.query;
		if (
			kind !== undefined &&
			!(RESOURCE_KINDS as readonly string[]).includes(String(kind))
		) {
			throw new ValidationError(
				`The kind ${String(kind).slice(0, 100)} is unknown.`,
				`Use one of ${RESOURCE_KINDS.join(', ')}.`,
			);
		}

		sendJson(
			response,
			200,
			await core.groups.call(
				configGroup,
				'config.resources',
				{...(kind !== undefined && {kind})},
				{timeoutMs: core.context.settings.timing.requestTimeoutMs},
			),
		);
	};

const listDiskDaemons = (core: EntryCore): DaemonId[] =>
	core.context.settings.cluster.peers
		.filter((peer) => peer.state)
		.map((peer) => peer.daemonId);

/** Calls all daemons that have disks; those that do not answer are omitted. */
const askDiskDaemons = async <Output>(
	core: EntryCore,
	path: string,
	input: unknown,
): Promise<Array<{daemonId: DaemonId; output: Output}>> => {
	const answers = await Promise.all(
		listDiskDaemons(core).map(async (daemonId) => {
			try {
				const output = await core.peers.call<Output>(daemonId, path, input, {
					timeoutMs: 3000,
				});
				return {daemonId, output};
			} catch (error) {
				core.context.logger.debug({
					event: 'daemon-not-asked',
					peer: daemonId,
					error: messageOf(error),
				});
				return undefined;
			}
		}),
	);
	return answers.filter((answer) => answer !== undefined);
};

/** `GET /v1/operator/programs`. */
export const createProgramsRoute =
	(core: EntryCore): Handler =>
	async (_request, response) => {
		const answers = await askDiskDaemons<ProgramDescription[]>(
			core,
			'programs.list',
			{
				limit: maxListedPrograms,
			},
		);
		sendJson(response, 200, {
			programs: answers.flatMap(({output}) => output),
		});
	};

/** `GET /v1/operator/upstreams`. */
export const createUpstreamsRoute =
	(core: EntryCore): Handler =>
	async (_request, response) => {
		sendJson(response, 200, {
			upstreams: core.configuration.view.upstreams.map(
				({name, labels, spec}) => ({
					name,
					labels,
					type: spec.type,
					address: spec.address,
					zone: spec.zone,
					slots: spec.slots,
					dispatcherId: core.upstreams.dispatcherOf(name),
					leaving: core.upstreams.isLeaving(name),
					healthy: core.upstreams.isHealthy(name),
				}),
			),
		});
	};

/** `GET /v1/operator/daemons`. */
export const createDaemonsRoute =
	(core: EntryCore): Handler =>
	async (_request, response) => {
		sendJson(
			response,
			200,
			await core.groups.call(
				configGroup,
				'config.members',
				{},
				{timeoutMs: core.context.settings.timing.requestTimeoutMs},
			),
		);
	};

/** Most reliable status of each group: the one from its leader, otherwise the one with the highest term. */
const readGroupStatuses = async (core: EntryCore) => {
	const answers = await askDiskDaemons<GroupStatus[]>(
		core,
		'replication.status',
		{},
	);
	const reports = new Map<
		GroupId,
		{reportedBy: DaemonId; status: GroupStatus; isLeader: boolean}
	>();
	for (const {daemonId, output} of answers) {
		for (const status of output) {
			const isLeader = status.role === 'leader';
			const previous = reports.get(status.groupId);
			if (
				!previous ||
				Number(isLeader) > Number(previous.isLeader) ||
				(isLeader === previous.isLeader && status.term > previous.status.term)
			) {
				reports.set(status.groupId, {reportedBy: daemonId, status, isLeader});
			}
		}
	}

	return reports;
};

/** `GET /v1/operator/replication`. */
export const createReplicationRoute =
	(core: EntryCore): Handler =>
	async (_request, response) => {
		const groups = await readGroupStatuses(core);
		sendJson(response, 200, {
			groups: [...groups.values()].map(({reportedBy, status}) => ({
				...status,
				reportedBy,
				replicas: status.replicas.map((replica) => ({
					...replica,
					...(replica.isLive !== undefined && {
						state: replica.isLive ? 'live' : 'silent',
					}),
				})),
			})),
		});
	};

const replaceSchema = z.strictObject({
	groupId: z.string().optional(),
	lostDaemonId: z.string().min(1),
	newDaemonId: z.string().min(1),
});

/** `POST /v1/operator/replicas/replace`. */
export const createReplaceReplicaRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const body = parseBody(request, replaceSchema);
		const {shardCount} = core.context.settings.cluster;
		const groupIds = [
			configGroup,
			...Array.from({length: shardCount}, (_, shard) => shardGroup(shard)),
		];
		const selectedIds = groupIds.filter(
			(groupId) => body.groupId === undefined || groupId === body.groupId,
		);
		if (selectedIds.length === 0) {
			throw new ValidationError(
				`No group is named ${body.groupId}.`,
				`Use one of ${groupIds.join(', ')}.`,
			);
		}

		for (const groupId of selectedIds) {
			await core.groups.call(
				groupId,
				'replication.replace',
				{
					groupId,
					lostDaemonId: body.lostDaemonId,
					newDaemonId: body.newDaemonId,
				},
				{timeoutMs: 20_000},
			);
		}

		sendJson(response, 200, {groups: selectedIds});
	};

const drainSchema = z.strictObject({daemonId: z.string().optional()});

/** `POST /v1/operator/drain`; drains the daemon that receives the request. */
export const createDrainRoute =
	(core: EntryCore, drain: () => void): Handler =>
	async (request, response) => {
		const {daemonId} = parseBody(request, drainSchema);
		const ownId = core.context.settings.daemonId;
		if (daemonId !== undefined && daemonId !== ownId) {
			throw new MarjoramcoveError(`This daemon is ${ownId}, not ${daemonId}.`, {
				reason: 'invalid-input',
				verdict: 'not-run',
				hint: `Send the request to ${daemonId}; its address is in GET /v1/operator/daemons.`,
			});
		}

		drain();
		sendJson(response, 202, {daemonId: ownId, phase: 'draining'});
	};
