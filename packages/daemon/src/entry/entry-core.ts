import {createHash, randomUUID} from 'node:crypto';
import {ValidationError} from '@marjoramcove/errors';
import {type ProgramBudget, programOfShard} from '@marjoramcove/programs';
import {asId, type ProgramId} from '@marjoramcove/types';
import {type DaemonContext, refusal} from '../daemon-context.ts';
import type {ConfigurationService} from '../services/configuration-service.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import {shardGroup} from '../services/replication-service.ts';
import type {UpstreamsService} from '../services/upstreams-service.ts';
import {CallFollower} from './call-follower.ts';

export type OpenedProgram = {
	programId: ProgramId;
	budget: ProgramBudget;
	deadlineMs: number;
	repeated: boolean;
};

export type OpenRequest = {
	labels: Record<string, string>;
	callerId: string;
	budget?: Partial<ProgramBudget>;
	parent?: string;
	deadlineMs?: number;
	operationId?: string;
};

/** Shard and 96 bits of a digest; see {@link EntryCore.openProgram}. */
const programIdPattern = /^p\d+-[\da-f]{24}$/v;

/** Services that all routes of the HTTP API share. */
export class EntryCore {
	readonly context: DaemonContext;
	readonly configuration: ConfigurationService;
	readonly groups: GroupClientService;
	readonly peers: PeersService;
	readonly upstreams: UpstreamsService;
	readonly follower: CallFollower;

	constructor(parts: {
		context: DaemonContext;
		configuration: ConfigurationService;
		groups: GroupClientService;
		peers: PeersService;
		upstreams: UpstreamsService;
	}) {
		this.context = parts.context;
		this.configuration = parts.configuration;
		this.groups = parts.groups;
		this.peers = parts.peers;
		this.upstreams = parts.upstreams;
		this.follower = new CallFollower(parts.context, parts.groups, parts.peers);
	}

	/**
	 * Checks a program id.
	 *
	 * @throws RefusedError `program-unknown` when no program of this cluster can have it.
	 */
	programId(text: string): ProgramId {
		const programId = asId<ProgramId>(text);
		if (
			!programIdPattern.test(text) ||
			!(programOfShard(programId) < this.context.settings.cluster.shardCount)
		) {
			throw refusal(
				'program-unknown',
				`No program ${text.slice(0, 100)} is known.`,
				'Open a program with POST /v1/programs.',
			);
		}

		return programId;
	}

	/** Calls the owner of a program. */
	async owner<Output>(
		programId: ProgramId,
		path: string,
		input: unknown,
	): Promise<Output> {
		return this.groups.call<Output>(
			shardGroup(programOfShard(programId)),
			path,
			input,
			{
				timeoutMs: this.context.settings.timing.requestTimeoutMs,
				attemptTimeoutMs: 4000,
			},
		);
	}

	/** Opens a program; the operation id determines the program id, so a repetition finds it. */
	async openProgram(request: OpenRequest): Promise<OpenedProgram> {
		const {settings} = this.context;
		const operationId = request.operationId ?? randomUUID();
		const digest = createHash('sha256')
			.update(`${request.callerId}\n${operationId}`)
			.digest();
		const shard = digest.readUInt32LE(0) % settings.cluster.shardCount;
		const programId = asId<ProgramId>(
			`p${shard}-${digest.subarray(4, 16).toString('hex')}`,
		);
		const budget = {...settings.defaultBudget, ...request.budget};
		const parentId =
			request.parent === undefined ? undefined : this.programId(request.parent);
		// The carved budget carries the time that the parent has left; deadlines of two shards cannot be compared.
		const carved = parentId
			? await this.owner<{budget: ProgramBudget}>(parentId, 'programs.carve', {
					programId: parentId,
					childId: programId,
					budget,
				})
			: undefined;
		return this.owner<OpenedProgram>(programId, 'programs.open', {
			programId,
			callerId: request.callerId,
			labels: request.labels,
			budget: carved?.budget ?? budget,
			...(parentId && {parentId}),
			...(request.deadlineMs !== undefined && {deadlineMs: request.deadlineMs}),
			operationId,
		});
	}
}

/** Request id of a call: the caller's, or a new one. */
export const checkRequestId = (value: string | undefined): string => {
	if (value === undefined) {
		return randomUUID();
	}

	if (!/^[\w.\-]{1,128}$/v.test(value)) {
		throw new ValidationError(
			'The header x-marjoramcove-request must have 1 to 128 letters, digits, dots, hyphens or underscores.',
			'Choose another request id.',
		);
	}

	return value;
};

/** Hash of a body, to recognise a request id that is used with another body. */
export const hashRequest = (value: unknown): string =>
	createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, 32);
