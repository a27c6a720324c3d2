import {
	type ControlResult,
	ControlStateMachine,
	encodeControlCommand,
} from '@marjoramcove/control-state';
import type {ReplicaHost} from '@marjoramcove/consensus';
import {
	MarjoramcoveError,
	NotLeaderError,
	RefusedError,
	messageOf,
	reasonOf,
} from '@marjoramcove/errors';
import {listMembers, recordReport} from '@marjoramcove/fleet';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {checkDocument} from '@marjoramcove/routes';
import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import * as z from 'zod';
import type {OperatorApi} from '../gateway-adapter.ts';
import type {GatewayContext} from '../gateway-context.ts';
import {
	memberInput,
	putDocumentInput,
	replicationBatchInput,
} from '../peer-messages.ts';
import {StateDaemonRegistry} from '../state-daemon-registry.ts';
import type {FleetService} from './fleet-service.ts';
import {openReplicaHost} from './open-replica-host.ts';
import type {PeersService} from './peers-service.ts';

/** Group that replicates the routing document and the shard map. */
export const CONTROL_GROUP = asId<GroupId>('control');

/** Interval at which the leader confirms its leadership and publishes the members. */
const LEADER_INTERVAL_MS = 200;

/**
 * Number of member timeouts after an election until all live daemons have reported: one to detect that
 * their parent is gone, and one to start up after a full restart.
 */
const FULL_MEMBERSHIP_TIMEOUTS = 2;

/** Timeout of a call to the leader; operators switch to another daemon after one second. */
const LEADER_CALL_TIMEOUT_MS = 800;

/** Runs a replica of the configuration group, serves operators, and publishes the members while it leads. */
export class ControlService extends Service implements OperatorApi {
	readonly stateMachine: ControlStateMachine;
	readonly #context: GatewayContext;
	readonly #stateDaemons = new StateDaemonRegistry();
	readonly #leadershipListeners = new Set<() => void>();
	#host: ReplicaHost | undefined;
	#peers!: PeersService;
	#fleet!: FleetService;
	#timer: NodeJS.Timeout | undefined;
	#isConfirming = false;
	#publishedVersion = -1;
	#wasLeader = false;
	#leaderSinceMs = Infinity;
	#confirmation: {term: number; atMs: number; clockJumps: number} | undefined;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.stateMachine = new ControlStateMachine(({document, shardMap}) => {
			context.view.merge({document, shardMap});
		});
	}

	override get name() {
		return 'control';
	}

	get host(): ReplicaHost | undefined {
		return this.#host;
	}

	/** Term in which this daemon leads; `undefined` while it does not. */
	get leaderTerm(): number | undefined {
		const leadership = this.#host?.leadership(CONTROL_GROUP);
		return leadership?.isLeader ? leadership.term : undefined;
	}

	/**
	 * Term in which a quorum confirmed the leadership of this daemon so lately that no other daemon can lead
	 * yet; `undefined` otherwise.
	 */
	get confirmedTerm(): number | undefined {
		const {view, settings} = this.#context;
		view.checkClocks();
		const confirmation = this.#confirmation;
		return confirmation !== undefined &&
			confirmation.term === this.leaderTerm &&
			confirmation.clockJumps === view.clockJumps &&
			performance.now() - confirmation.atMs <
				settings.timing.electionTimeoutMinMs
			? confirmation.term
			: undefined;
	}

	get isLeader(): boolean {
		return this.leaderTerm !== undefined;
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		this.#fleet = kernel.get<FleetService>('fleet');
		const {settings} = this.#context;
		this.#host = await openReplicaHost(this.#context, this.#peers.network);
		this.#fleet.reportFields.diskId = this.#host.diskId;
		const host = this.#host;
		this.#peers.network.handlePost(
			'replication.deliver',
			replicationBatchInput,
			({from, batch}) => {
				host.receive(asId<DaemonId>(from), batch);
			},
		);
		this.#registerProcedures();
		host.onLeadershipChange(() => {
			this.#handleLeadershipChange();
		});
		// Only the first start may bootstrap the group; a disk that is empty later waits to be added.
		const initialVoters = settings.isFirstFormation ? settings.seeds : [];
		await host.addGroup(
			CONTROL_GROUP,
			this.stateMachine,
			initialVoters.map((daemonId) => ({daemonId})),
		);
		// Not before the group is open: the sync loop, which runs already, would end with an error.
		this.#fleet.setLeadershipSource(this);
		this.#context.view.onChange((topic) => {
			if (topic === 'members') {
				this.#stateDaemons.update(this.#context.view.membersWithRole('state'));
			}

			if (topic === 'clocks') {
				void this.#confirmAndPublish();
			}
		});
		this.#timer = setInterval(() => {
			void this.#confirmAndPublish();
		}, LEADER_INTERVAL_MS);
	}

	override async drain() {
		await this.#host?.drain();
	}

	override async stop() {
		clearInterval(this.#timer);
		await this.#host?.stop();
	}

	/** Proposes a shard map. */
	async setShards(
		command: Extract<
			Parameters<typeof encodeControlCommand>[0],
			{type: 'set-shards'}
		>,
	): Promise<ControlResult> {
		const {result} = await this.#host!.propose(
			CONTROL_GROUP,
			encodeControlCommand(command),
		);
		return result as ControlResult;
	}

	async replaceDocument(bytes: Uint8Array): Promise<{version: number}> {
		const {adapter, logger} = this.#context;
		const document = adapter.decodeDocument(bytes);
		checkDocument(document);
		const {version} = document;
		const startedAtMs = performance.now();
		const result = await this.#callLeader<ControlResult>(
			'control.put-document',
			{version, bytes},
		);
		logger.info({
			event: 'document-put',
			documentVersion: version,
			outcome: result.status,
			teams: document.teams?.length,
			keys: document.teams?.reduce(
				(sum, {keyDigests}) => sum + keyDigests.length,
				0,
			),
			storedVersion: result.version,
			durationMs: Math.round(performance.now() - startedAtMs),
		});
		return {version: result.version};
	}

	async readDocument(): Promise<Uint8Array | undefined> {
		const {bytes} = await this.#callLeader<{bytes?: Uint8Array}>(
			'control.read-document',
			{},
		);
		return bytes;
	}

	async retireDisk(memberName: string): Promise<void> {
		await this.#callLeader('control.retire-disk', {memberName});
		this.#context.logger.info({event: 'disk-retiring', member: memberName});
	}

	async isDiskEmpty(memberName: string): Promise<boolean> {
		const {isEmpty} = await this.#callLeader<{isEmpty: boolean}>(
			'control.is-disk-empty',
			{memberName},
		);
		return isEmpty;
	}

	/** Registers a listener that is called when this daemon becomes the leader. */
	onBecomeLeader(listener: () => void): void {
		this.#leadershipListeners.add(listener);
	}

	async #retireDiskAsLeader(memberName: string): Promise<void> {
		const diskId = this.#stateDaemons.planRetirement({
			...this.#createRetirementInput(memberName),
			retiringDisks: this.stateMachine.state.shardMap.retiringDisks,
		});
		if (diskId !== undefined) {
			await this.#host!.propose(
				CONTROL_GROUP,
				encodeControlCommand({type: 'retire-disk', diskId}),
			);
		}
	}

	#isDiskEmptyAsLeader(memberName: string): boolean {
		return this.#stateDaemons.isDiskEmpty(
			this.#createRetirementInput(memberName),
			this.stateMachine.state.shardMap,
			this.#context.view.members.flatMap(({ledGroups}) => ledGroups),
		);
	}

	#createRetirementInput(memberName: string) {
		const {replication, timing} = this.#context.settings;
		const leadingMs = performance.now() - this.#leaderSinceMs;
		return {
			memberName,
			factor: replication.factor,
			hasFullMembership:
				leadingMs > FULL_MEMBERSHIP_TIMEOUTS * timing.memberTimeoutMs,
		};
	}

	#registerProcedures(): void {
		const {network} = this.#peers;
		network.handle('control.retire-disk', memberInput, async ({memberName}) => {
			await this.#host!.readBarrier(CONTROL_GROUP);
			await this.#retireDiskAsLeader(memberName);
			return {};
		});
		network.handle(
			'control.is-disk-empty',
			memberInput,
			async ({memberName}) => {
				await this.#host!.readBarrier(CONTROL_GROUP);
				return {isEmpty: this.#isDiskEmptyAsLeader(memberName)};
			},
		);
		network.handle('control.put-document', putDocumentInput, async (input) => {
			const {result} = await this.#host!.propose(
				CONTROL_GROUP,
				encodeControlCommand({type: 'put-document', ...input}),
			);
			return result;
		});
		network.handle('control.read-document', z.object({}), async () => {
			await this.#host!.readBarrier(CONTROL_GROUP);
			return {bytes: this.stateMachine.state.document?.bytes};
		});
	}

	async #callLeader<Output>(path: string, input: unknown): Promise<Output> {
		const {leaderId} = this.#host!.leadership(CONTROL_GROUP);
		if (leaderId === undefined) {
			throw new NotLeaderError(CONTROL_GROUP);
		}

		try {
			return await this.#peers.network.call<Output>(leaderId, path, input, {
				timeoutMs: LEADER_CALL_TIMEOUT_MS,
			});
		} catch (error) {
			this.#context.logger.warn({
				event: 'leader-call-failed',
				call: path,
				peer: leaderId,
				reason: reasonOf(error),
				error: messageOf(error),
			});
			throw error instanceof MarjoramcoveError
				? error
				: new RefusedError(messageOf(error), {
						reason: 'leader-call-failed',
						hint: 'Retry the request on any control daemon.',
					});
		}
	}

	#handleLeadershipChange(): void {
		const {view, logger, settings} = this.#context;
		const {isLeader, leaderId, term} = this.#host!.leadership(CONTROL_GROUP);
		view.leaderId = leaderId;
		logger.info({
			event: 'leadership-changed',
			group: CONTROL_GROUP,
			leader: leaderId,
			term,
			isLeader,
		});
		if (isLeader && !this.#wasLeader) {
			this.#leaderSinceMs = performance.now();
			this.#initializeMembers();
			for (const listener of this.#leadershipListeners) {
				listener();
			}
		}

		this.#wasLeader = isLeader;
		if (isLeader) {
			void this.#confirmAndPublish();
		}

		if (leaderId !== settings.daemonId) {
			this.#publishedVersion = -1;
		}
	}

	/** Initializes the members of a new leader from its view; live ones report within the member timeout. */
	#initializeMembers(): void {
		const {membershipTable} = this.#fleet;
		const receivedAtMs = performance.now();
		for (const report of this.#context.view.members) {
			if (!membershipTable.members.has(report.daemonId)) {
				recordReport(membershipTable, {report, receivedAtMs});
			}
		}
	}

	async #confirmAndPublish(): Promise<void> {
		const term = this.leaderTerm;
		if (term === undefined || this.#isConfirming) {
			return;
		}

		this.#fleet.recordSelf();
		this.#fleet.removeExpiredMembers();
		this.#publishMembers(term);
		this.#isConfirming = true;
		const {view} = this.#context;
		view.checkClocks();
		const {clockJumps} = view;
		const startedAtMs = performance.now();
		try {
			await this.#host!.readBarrier(CONTROL_GROUP);
			view.recordConfirmation(startedAtMs, clockJumps);
			if (this.leaderTerm === term) {
				this.#confirmation = {term, atMs: startedAtMs, clockJumps};
			}
		} catch (error) {
			this.#context.logger.warn({
				event: 'leadership-unconfirmed',
				group: CONTROL_GROUP,
				reason: reasonOf(error),
			});
		} finally {
			this.#isConfirming = false;
		}
	}

	/** Publishes the members if they changed. */
	#publishMembers(term: number): void {
		const {membershipTable} = this.#fleet;
		if (membershipTable.version !== this.#publishedVersion) {
			this.#publishedVersion = membershipTable.version;
			this.#context.view.merge({
				members: {
					stamp: {term, sequence: membershipTable.version},
					items: listMembers(membershipTable),
				},
			});
		}
	}
}
