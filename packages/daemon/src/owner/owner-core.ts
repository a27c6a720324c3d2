import {MarjoramcoveError, type RefusedError} from '@marjoramcove/errors';
import {
	describeProgram,
	type ProgramCommand,
	type ProgramDescription,
	shardOfProgram,
	type ProgramResult,
	type ProgramsState,
} from '@marjoramcove/programs';
import type {GroupId, ProgramId} from '@marjoramcove/types';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
import type {ConfigurationService} from '../services/configuration-service.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import {
	type ReplicationService,
	shardGroup,
} from '../services/replication-service.ts';
import type {UpstreamsService} from '../services/upstreams-service.ts';
import {CallerPrograms} from './caller-programs.ts';
import {ObservedSpeeds} from './observed-speeds.ts';

/** Results of commands that took effect or were repeated. */
export type EffectiveResult = Exclude<ProgramResult, {outcome: 'refused'}>;

const limitReasons = new Set(['turn-limit', 'token-budget', 'wall-time-limit']);

/** Services and checks shared by the components of the owner. */
export class OwnerCore {
	readonly context: DaemonContext;
	readonly replication: ReplicationService;
	readonly configuration: ConfigurationService;
	readonly upstreams: UpstreamsService;
	readonly peers: PeersService;
	readonly groups: GroupClientService;
	readonly speeds = new ObservedSpeeds();
	readonly callers = new CallerPrograms();

	constructor(parts: {
		context: DaemonContext;
		replication: ReplicationService;
		configuration: ConfigurationService;
		upstreams: UpstreamsService;
		peers: PeersService;
		groups: GroupClientService;
	}) {
		this.context = parts.context;
		this.replication = parts.replication;
		this.configuration = parts.configuration;
		this.upstreams = parts.upstreams;
		this.peers = parts.peers;
		this.groups = parts.groups;
	}

	/**
	 * Replication group of the shard of a program.
	 *
	 * @throws RefusedError `program-unknown` when the id names no shard of this cluster.
	 */
	groupOf(programId: ProgramId): GroupId {
		const shard = shardOfProgram(programId);
		if (!(shard < this.context.settings.cluster.shardCount)) {
			throw unknownProgramError(programId);
		}

		return shardGroup(shard);
	}

	/** State of the shard of a program after a check that this replica leads it. */
	async leaderStateOf(programId: ProgramId): Promise<ProgramsState> {
		const groupId = this.groupOf(programId);
		if (!this.replication.hasDisk) {
			throw createRefusedError(
				'group-unknown',
				'This daemon has no disk.',
				'Send the request to a daemon with a disk.',
			);
		}

		await this.replication.ensureLeader(groupId);
		return this.stateOf(programId);
	}

	/** State of the shard of a program on this replica. */
	stateOf(programId: ProgramId): ProgramsState {
		return this.replication.shards[shardOfProgram(programId)]!.state;
	}

	/**
	 * Description of an open program.
	 *
	 * @throws RefusedError when the program has ended; the limit that ended it is the reason.
	 * @throws MarjoramcoveError `program-unknown` when there is no record of it.
	 */
	async openProgram(programId: ProgramId): Promise<ProgramDescription> {
		const program = describeProgram(
			await this.leaderStateOf(programId),
			programId,
		);
		if (!program) {
			throw missingRecordError(programId);
		}

		const {endedReason} = program;
		if (endedReason !== undefined) {
			throw createRefusedError(
				limitReasons.has(endedReason) ? endedReason : 'program-ended',
				`The program has ended: ${endedReason}.`,
				'Open a new program.',
			);
		}

		return program;
	}

	/** Timestamp for a command of a program, in whole milliseconds of the clock of its shard. */
	commandTimeMs(programId: ProgramId): number {
		return this.shardTimeMs(shardOfProgram(programId));
	}

	/** Current time of the clock of a shard; see {@link CommandClock}. */
	shardTimeMs(shard: number): number {
		return this.replication.shards[shard]!.clock.nowMs();
	}

	/** Proposes a command of a program; a refusal is returned as a result, not thrown. */
	async propose(
		programId: ProgramId,
		command: ProgramCommand,
	): Promise<ProgramResult> {
		return this.replication.propose<ProgramResult>(
			this.groupOf(programId),
			command,
		);
	}

	/** Proposes a command and throws when the state machine refuses it. */
	async commit(
		programId: ProgramId,
		command: ProgramCommand,
	): Promise<EffectiveResult> {
		const result = await this.propose(programId, command);
		if (result.outcome === 'refused') {
			throw toRefusedError(result);
		}

		return result;
	}
}

/**
 * Creates the error for a request to a program without a record. The program may have run the request
 * before it ended and its record was removed, so the verdict is not `not-run`.
 */
const missingRecordError = (programId: ProgramId): MarjoramcoveError =>
	new MarjoramcoveError(
		`No program ${programId.slice(0, 100)} is known; it never existed, or it ended longer ago than records are kept.`,
		{
			reason: 'program-unknown',
			verdict: 'may-have-run',
			hint: 'Open a program with POST /v1/programs. Check at the service whether a resent request has run.',
		},
	);

export const unknownProgramError = (programId: ProgramId): RefusedError =>
	createRefusedError(
		'program-unknown',
		`No program ${programId.slice(0, 100)} is known.`,
		'Open a program with POST /v1/programs.',
	);

const hintByReason: Record<string, string> = {
	'token-budget': 'End the program; open one with a larger budget if allowed.',
	'turn-limit': 'End the program; open one with more turns if allowed.',
	'wall-time-limit': 'End the program; open one with more time if allowed.',
	'turn-out-of-order': 'Send the turn again when it is next.',
	'request-id-reused': 'Use a new request id for another body.',
	'history-too-large': 'End the program and open a new one.',
	'call-in-progress': 'Wait for the open call.',
};

/** Creates the error for a command that the state machine of the shard refused. */
export const toRefusedError = (
	result: Extract<ProgramResult, {outcome: 'refused'}>,
): RefusedError =>
	createRefusedError(
		result.reason,
		result.message,
		hintByReason[result.reason] ?? 'Correct the request.',
		// The state machine also refuses a delayed duplicate of the command.
		{isRecorded: true},
	);
