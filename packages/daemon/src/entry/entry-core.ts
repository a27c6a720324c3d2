import {createHash, randomUUID} from 'node:crypto';
import {ValidationError} from '@marjoramcove/errors';
import {type ProgramBudget, shardOfProgram} from '@marjoramcove/programs';
import {asId, type ProgramId} from '@marjoramcove/types';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
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

export type OpenProgramRequest = {
	labels: Record<string, string>;
	callerId: string;
	budget?: Partial<ProgramBudget>;
	parent?: string;
	deadlineMs?: number;
	operationId?: string;
};

/** Shard number and 96 bits of a digest; see {@link EntryCore.openProgram}. */
const programIdPattern = /^p\d+-[\da-f]{24}$/v;

/** Services and operations that all routes of the HTTP API share. */
export class EntryCore {
	readonly context: DaemonContext;
	readonly configuration: ConfigurationService;
	readonly groups: GroupClientService;
	readonly peers: PeersService;
	readonly upstreams: UpstreamsService;
	readonly follower: CallFollower;

	constructor(services: {
		context: DaemonContext;
		configuration: ConfigurationService;
		groups: GroupClientService;
		peers: PeersService;
		upstreams: UpstreamsService;
	}) {
		this.context = services.context;
		this.configuration = services.configuration;
		this.groups = services.groups;
		this.peers = services.peers;
		this.upstreams = services.upstreams;
		this.follower = new CallFollower(
			services.context,
			services.groups,
			services.peers,
		);
	}

	/**
	 * Parses a program id.
	 *
	 * @throws RefusedError `program-unknown` when no program of this cluster can have this id.
	 */
	parseProgramId(text: string): ProgramId {
		const programId = asId<ProgramId>(text);
		if (
			!programIdPattern.test(text) ||
			!(shardOfProgram(programId) < this.context.settings.cluster.shardCount)
		) {
			throw createRefusedError(
				'program-unknown',
				`No program ${text.slice(0, 100)} is known.`,
				'Open a program with POST /v1/programs.',
			);
		}

		return programId;
	}

	/** Calls a procedure at the owner of a program. */
	async callOwner<Output>(
		programId: ProgramId,
		path: string,
		input: unknown,
	): Promise<Output> {
		return this.groups.call<Output>(
			shardGroup(shardOfProgram(programId)),
			path,
			input,
			{
				timeoutMs: this.context.settings.timing.requestTimeoutMs,
				attemptTimeoutMs: 4000,
			},
		);
	}

	/**
	 * Opens a program. Its id is derived from the caller id and the operation id, so a repeated request finds
	 * the same program.
	 */
	async openProgram(request: OpenProgramRequest): Promise<OpenedProgram> {
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
			request.parent === undefined
				? undefined
				: this.parseProgramId(request.parent);
		// The child budget contains the wall time that the parent has left, because the deadlines of two shards
		// cannot be compared.
		const child = parentId
			? await this.callOwner<{budget: ProgramBudget}>(
					parentId,
					'programs.carve',
					{
						programId: parentId,
						childId: programId,
						budget,
					},
				)
			: undefined;
		return this.callOwner<OpenedProgram>(programId, 'programs.open', {
			programId,
			callerId: request.callerId,
			labels: request.labels,
			budget: child?.budget ?? budget,
			...(parentId && {parentId}),
			...(request.deadlineMs !== undefined && {deadlineMs: request.deadlineMs}),
			operationId,
		});
	}
}

/** Returns the caller's request id after checking it, or a new one when the caller sent none. */
export const resolveRequestId = (value: string | undefined): string => {
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

/** Hash of a request, to detect a request id that is reused for a different request. */
export const hashRequest = (value: unknown): string =>
	createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, 32);
