import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	describeProgram,
	isProgramLive,
	openIntents,
	type ProgramCommand,
	type ProgramResult,
} from '@marjoramcove/programs';
import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';
import * as z from 'zod';
import {
	type AcceptInput,
	acceptSchema,
	programIdSchema,
	requestIdSchema,
} from '../call-contracts.ts';
import type {DaemonContext} from '../daemon-context.ts';
import {CallAccepter} from '../owner/call-accepter.ts';
import {CallRecovery} from '../owner/call-recovery.ts';
import {
	estimateAppliedCallWork,
	estimateCallWork,
} from '../owner/estimate-call-work.ts';
import {OpenCallLoads} from '../owner/open-call-loads.ts';
import {OwnerCore} from '../owner/owner-core.ts';
import {OwnerSweeps} from '../owner/owner-sweeps.ts';
import {pauseProgram} from '../owner/pause-program.ts';
import {ProgramQueues} from '../owner/program-queues.ts';
import {
	childBudgetSchema,
	openSchema,
	ProgramRegistry,
} from '../owner/program-registry.ts';
import type {ConfigurationService} from './configuration-service.ts';
import type {GroupClientService} from './group-client-service.ts';
import type {PeersService} from './peers-service.ts';
import type {ReplicationService} from './replication-service.ts';
import type {UpstreamsService} from './upstreams-service.ts';

const settleSchema = z.object({
	programId: programIdSchema,
	requestId: requestIdSchema,
	attempt: z.int(),
	outcome:
		z.custom<Extract<ProgramCommand, {type: 'settle-call'}>['outcome']>(),
	answer: z.object({role: z.string(), content: z.string()}).optional(),
	usedTokens: z.int().optional(),
	cachedTokens: z.int().optional(),
	/** Latest load report that the dispatcher of the upstream has read. */
	load: z
		.object({
			upstreamId: z.string().transform((value) => value as UpstreamId),
			running: z.number(),
			waiting: z.number(),
			kvTokens: z.number(),
			kvCapacityTokens: z.number(),
			/** Age of the report when the dispatcher sent it. */
			ageMs: z.number().min(0),
		})
		.optional(),
	/** Speed of the engine in this call. */
	speed: z
		.object({
			upstreamId: z.string().transform((value) => value as UpstreamId),
			model: z.string(),
			ratio: z.number().positive(),
		})
		.optional(),
});

const programSchema = z.object({programId: programIdSchema});

/** Owns the programs of the shards that this daemon leads. */
export class OwnerService extends Service {
	readonly #context: DaemonContext;
	readonly #loads = new OpenCallLoads();
	/** Requests of the open calls, kept for further attempts. */
	readonly #inputs = new Map<string, AcceptInput>();
	#core!: OwnerCore;
	#queues!: ProgramQueues;
	#accepter!: CallAccepter;
	#recovery!: CallRecovery;
	#registry!: ProgramRegistry;
	#sweeps!: OwnerSweeps;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'owner';
	}

	override async start(kernel: ServiceDirectory) {
		const {settings} = this.#context;
		this.#core = new OwnerCore({
			context: this.#context,
			replication: kernel.get<ReplicationService>('replication'),
			configuration: kernel.get<ConfigurationService>('configuration'),
			upstreams: kernel.get<UpstreamsService>('upstreams'),
			peers: kernel.get<PeersService>('peers'),
			groups: kernel.get<GroupClientService>('group-client'),
		});
		this.#queues = new ProgramQueues(settings.limits.queuedCallsPerProgram);
		this.#accepter = new CallAccepter(this.#core, this.#queues, this.#loads);
		this.#recovery = new CallRecovery(this.#core, this.#accepter, this.#loads);
		this.#registry = new ProgramRegistry(this.#core, this.#accepter);
		this.#sweeps = new OwnerSweeps(this.#core, this.#recovery, this.#inputs);
		this.#registerListeners();
		this.#serveCalls(this.#core.peers);
		this.#servePrograms(this.#core.peers);
		this.#serveReads(this.#core.peers);
		this.#serveBudgets(this.#core.peers);
		if (settings.roles.includes('state')) {
			this.#timer = setInterval(() => {
				void this.#sweeps.run();
			}, settings.timing.openIntentSweepMs);
		}
	}

	override async stop() {
		clearInterval(this.#timer);
		await this.#sweeps.stop();
	}

	#registerListeners(): void {
		const {replication} = this.#core;
		replication.onApplied((...applied) => {
			this.#handleApplied(...applied);
		});
		replication.onRestored((shard) => {
			this.#recount(shard);
		});
		// Count the state of snapshots that were restored before this service started.
		for (const shard of replication.shards.keys()) {
			this.#recount(shard);
		}

		this.#core.upstreams.onLoad((upstreamId) => {
			this.#loads.recordReport(upstreamId);
		});
		this.#core.configuration.onChange(() => {
			const {upstreams} = this.#core.configuration.view;
			this.#core.speeds.retainOnly(new Set(upstreams.map(({name}) => name)));
		});
		this.#core.replication.onLeadershipChange((groupId, leadership) => {
			this.#context.logger.info({
				event: 'leader-changed',
				groupId,
				leader: leadership.leaderId ?? 'none',
				term: leadership.term,
			});
			this.#queues.notifyAll();
		});
	}

	#serveCalls(peers: PeersService): void {
		peers.handle('programs.accept', acceptSchema, async (input) => {
			const startedMs = performance.now();
			const state = await this.#accepter.accept(input);
			if (state.status === 'granted') {
				this.#inputs.set(`${input.programId}:${input.requestId}`, input);
			}

			this.#context.steps.record(performance.now() - startedMs, {
				step: 'accept',
			});
			return state;
		});
		peers.handle(
			'programs.reportLost',
			z.object({
				accept: acceptSchema,
				attempt: z.int(),
				partial: z.string(),
			}),
			async ({accept, attempt, partial}) => {
				const state = await this.#recovery.recover(accept, attempt, partial);
				if (state.status === 'granted') {
					this.#inputs.set(`${accept.programId}:${accept.requestId}`, accept);
				}

				return state;
			},
		);
		peers.handle('programs.settle', settleSchema, async (settlement) =>
			this.#settle(settlement),
		);
	}

	async #settle({load, speed, ...input}: z.output<typeof settleSchema>) {
		await this.#core.leaderStateOf(input.programId);
		if (load) {
			const {upstreamId, ageMs, ...report} = load;
			this.#core.upstreams.recordLoad(upstreamId, report, ageMs);
		}

		const result = await this.#core.commit(input.programId, {
			type: 'settle-call',
			nowMs: this.#core.commandTimeMs(input.programId),
			...input,
		});
		if (speed && result.outcome === 'settled' && !result.repeated) {
			this.#core.speeds.record(speed);
		}

		this.#reportOverrun(input, result);
		return result;
	}

	/** Reports tokens that an engine counted beyond the reservation: `limits.bytesPerToken` is too large for it. */
	#reportOverrun(
		{programId, requestId}: {programId: ProgramId; requestId: string},
		result: ProgramResult,
	): void {
		if (result.outcome !== 'settled' || result.overrunTokens === 0) {
			return;
		}

		const {overrunTokens} = result;
		this.#context.metrics
			.counter(
				'marjoramcove_overrun_tokens_total',
				'Tokens that engines counted beyond the reservation of their call.',
			)
			.increment({}, overrunTokens);
		this.#context.logger.warn({
			event: 'reservation-exceeded',
			programId,
			requestId,
			overrunTokens,
		});
	}

	#servePrograms(peers: PeersService): void {
		peers.handle('programs.open', openSchema, async (input) =>
			this.#registry.open(input),
		);
		peers.handle('programs.carve', childBudgetSchema, async (input) =>
			this.#registry.allocateChildBudget(input),
		);
		peers.handle(
			'programs.end',
			z.object({programId: programIdSchema, reason: z.string()}),
			async ({programId, reason}) => {
				const open = describeProgram(
					await this.#core.leaderStateOf(programId),
					programId,
				)?.call;
				const result = await this.#registry.end(programId, reason);
				if (open) {
					void this.#sweeps.cancel([{...open, reason}]);
				}

				void this.#sweeps.run();
				return result;
			},
		);
		peers.handle('programs.describe', programSchema, async ({programId}) =>
			this.#registry.describe(programId),
		);
	}

	#serveReads(peers: PeersService): void {
		peers.handle('programs.history', programSchema, async ({programId}) =>
			this.#registry.history(programId),
		);
		peers.handle(
			'programs.request',
			z.object({programId: programIdSchema, requestId: requestIdSchema}),
			async ({programId, requestId}) =>
				this.#registry.request(programId, requestId),
		);
		peers.handle('programs.list', z.object({limit: z.int()}), async ({limit}) =>
			this.#registry.list(limit),
		);
		peers.handle(
			'programs.pause',
			z.object({programId: programIdSchema, expectedMs: z.number()}),
			async ({programId, expectedMs}) =>
				pauseProgram(
					{core: this.#core, sweeps: this.#sweeps, queues: this.#queues},
					{programId, expectedMs},
				),
		);
		peers.handle(
			'programs.findDead',
			z.object({programIds: z.array(programIdSchema).min(1)}),
			async ({programIds}) => {
				const state = await this.#core.leaderStateOf(programIds[0]!);
				return programIds.filter((id) => !isProgramLive(state, id));
			},
		);
	}

	#serveBudgets(peers: PeersService): void {
		peers.handle(
			'programs.returnBudget',
			z.object({
				programId: programIdSchema,
				childId: programIdSchema,
				spentTokens: z.int(),
				spentTurns: z.int(),
			}),
			async (input) => {
				await this.#core.leaderStateOf(input.programId);
				return this.#core.commit(input.programId, {
					type: 'return-budget',
					nowMs: this.#core.commandTimeMs(input.programId),
					...input,
				});
			},
		);
		peers.handle(
			'programs.checkChild',
			z.object({
				programId: programIdSchema,
				parentId: programIdSchema,
				parentEnded: z.boolean(),
				isOld: z.boolean(),
			}),
			async ({programId, parentId, parentEnded, isOld}) => {
				const state = await this.#core.leaderStateOf(programId);
				const child = describeProgram(state, programId);
				if (!child && isOld) {
					await this.#core.commit(programId, {
						type: 'abandon-program',
						nowMs: this.#core.commandTimeMs(programId),
						programId,
						parentId,
					});
				} else if (child?.phase === 'open' && parentEnded) {
					await this.#registry.end(programId, 'parent-ended');
				}

				return {programId};
			},
		);
	}

	/** Updates the load of open calls after a command was applied, and notifies calls that wait for a closed one. */
	#handleApplied(
		shard: number,
		command: ProgramCommand,
		result: ProgramResult,
		previousEngine: UpstreamId | undefined,
	): void {
		const {state} = this.#core.replication.shards[shard]!;
		this.#core.callers.recordApplied(state, command, result);
		if (result.outcome === 'accepted' || result.outcome === 'retried') {
			this.#loads.add({
				...result.call,
				work: estimateAppliedCallWork(
					command,
					result.call,
					state.programs.get(result.call.programId)!,
					{
						bytesPerToken: this.#context.settings.limits.bytesPerToken,
						engineBefore: previousEngine,
					},
				),
			});
		} else if (result.outcome === 'settled' && command.type === 'settle-call') {
			this.#removeOpenCall(command.programId, command.requestId);
		} else if (result.outcome === 'ended' || result.outcome === 'expired') {
			for (const {programId, requestId} of result.cancelled) {
				this.#removeOpenCall(programId, requestId);
			}

			if (command.type === 'end-program') {
				this.#queues.notify(command.programId);
			}
		}
	}

	/** Recounts the open calls and programs of a shard after its state was replaced by a snapshot. */
	#recount(shard: number): void {
		const {state} = this.#core.replication.shards[shard]!;
		this.#core.callers.recount(state);
		const {bytesPerToken} = this.#context.settings.limits;
		this.#loads.replaceShard(
			shard,
			openIntents(state).map((call) => ({
				...call,
				work: estimateCallWork(call, state.programs.get(call.programId)!, {
					bytesPerToken,
					cachedBytes: 0,
				}),
			})),
		);
	}

	#removeOpenCall(programId: ProgramId, requestId: RequestId): void {
		this.#loads.remove({programId, requestId});
		this.#inputs.delete(`${programId}:${requestId}`);
		this.#queues.notify(programId);
	}
}
