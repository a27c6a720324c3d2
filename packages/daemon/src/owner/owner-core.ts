import {MarjoramcoveError, type RefusedError} from '@marjoramcove/errors';
import {
	describeProgram,
	type ProgramCommand,
	type ProgramDescription,
	programOfShard,
	type ProgramResult,
	type ProgramsState,
} from '@marjoramcove/programs';
import type {GroupId, ProgramId} from '@marjoramcove/types';
import {type DaemonContext, refusal} from '../daemon-context.ts';
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

/** Services and checks that all parts of the owner share. */
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
	 * Group of a program.
	 *
	 * @throws RefusedError `program-unknown` when the id names no shard of this cluster.
	 */
	groupOf(programId: ProgramId): GroupId {
		const shard = programOfShard(programId);
		if (!(shard < this.context.settings.cluster.shardCount)) {
			throw unknownProgram(programId);
		}

		return shardGroup(shard);
	}

	/** State of the shard of a program; this replica must lead it. */
	async lead(programId: ProgramId): Promise<ProgramsState> {
		const groupId = this.groupOf(programId);
		if (!this.replication.hasDisk) {
			throw refusal('group-unknown', 'This daemon has no disk.', 'Ask others.');
		}

		await this.replication.ensureLeader(groupId);
		return this.stateOf(programId);
	}

	/** State of the shard of a program on this replica. */
	stateOf(programId: ProgramId): ProgramsState {
		return this.replication.shards[programOfShard(programId)]!.state;
	}

	/**
	 * Description of an open program.
	 *
	 * @throws RefusedError when the program has ended; the limit that ended it is the reason.
	 * @throws MarjoramcoveError `program-unknown` when there is no record of it.
	 */
	async openProgram(programId: ProgramId): Promise<ProgramDescription> {
		const program = describeProgram(await this.lead(programId), programId);
		if (!program) {
			throw forgottenProgram(programId);
		}

		const {endedReason} = program;
		if (endedReason !== undefined) {
			throw refusal(
				limitReasons.has(endedReason) ? endedReason : 'program-ended',
				`The program has ended: ${endedReason}.`,
				'Open a new program.',
			);
		}

		return program;
	}

	/** Time for a command of a program, in whole milliseconds of the clock of its shard. */
	commandTimeMs(programId: ProgramId): number {
		return this.shardTimeMs(programOfShard(programId));
	}

	/** Time of a shard; see {@link CommandClock}. */
	shardTimeMs(shard: number): number {
		return this.replication.shards[shard]!.clock.nowMs();
	}

	/** Proposes a command of a program; a refusal is returned like any result. */
	async propose(
		programId: ProgramId,
		command: ProgramCommand,
	): Promise<ProgramResult> {
		return this.replication.propose<ProgramResult>(
			this.groupOf(programId),
			command,
		);
	}

	/** Proposes a command and throws when the machine refuses it. */
	async commit(
		programId: ProgramId,
		command: ProgramCommand,
	): Promise<EffectiveResult> {
		const result = await this.propose(programId, command);
		if (result.outcome === 'refused') {
			throw refusedByMachine(result);
		}

		return result;
	}
}

/**
 * Error for a request to a program without a record. The program may have run the request before it
 * ended and its record was removed, so the verdict is not `not-run`.
 */
const forgottenProgram = (programId: ProgramId): MarjoramcoveError =>
	new MarjoramcoveError(
		`No program ${programId.slice(0, 100)} is known; it never existed, or it ended longer ago than records are kept.`,
		{
			reason: 'program-unknown',
			verdict: 'may-have-run',
			hint: 'Open a program with POST /v1/programs. Check at the service whether a resent request has run.',
		},
	);

export const unknownProgram = (programId: ProgramId): RefusedError =>
	refusal(
		'program-unknown',
		`No program ${programId.slice(0, 100)} is known.`,
		'Open a program with POST /v1/programs.',
	);

const hints: Record<string, string> = {
	'token-budget': 'End the program; open one with a larger budget if allowed.',
	'turn-limit': 'End the program; open one with more turns if allowed.',
	'wall-time-limit': 'End the program; open one with more time if allowed.',
	'turn-out-of-order': 'Send the turn again when it is next.',
	'request-id-reused': 'Use a new request id for another body.',
	'history-too-large': 'End the program and open a new one.',
	'call-in-progress': 'Wait for the open call.',
};

/** Error for a refusal of the programs machine. */
export const refusedByMachine = (
	result: Extract<ProgramResult, {outcome: 'refused'}>,
): RefusedError =>
	refusal(
		result.reason,
		result.message,
		hints[result.reason] ?? 'Correct the request.',
		// The machine refuses a late copy of the command too.
		{isRecorded: true},
	);
