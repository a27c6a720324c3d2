import {
	ControlStateMachine,
	type ControlResult,
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
import {deliverInput, memberInput, putDocumentInput} from '../contracts.ts';
import type {OperatorApi} from '../gateway-adapter.ts';
import type {GatewayContext} from '../gateway-context.ts';
import {KnownStores} from '../known-stores.ts';
import type {FleetService} from './fleet-service.ts';
import type {PeersService} from './peers-service.ts';
import {openReplicaHost} from './replica-links.ts';

/** Group that holds the routing document and the shard map. */
export const CONTROL_GROUP = asId<GroupId>('control');

/** Interval at which the leader confirms its leadership and publishes the roster. */
const LEADER_TICK_MS = 200;

/**
 * Times of silence after an election until all live daemons have reported: they first find that their
 * parent is gone, then start themselves when everything was restarted.
 */
const SETTLE_INTERVALS = 2;

/** Time for one call to the leader; operators go on to another daemon after a second. */
const LEADER_CALL_MS = 800;

/** Holds the configuration group, answers operators and publishes the roster while it leads. */
export class ControlService extends Service implements OperatorApi {
	readonly machine: ControlStateMachine;
	readonly #context: GatewayContext;
	readonly #stores = new KnownStores();
	readonly #leadershipListeners = new Set<() => void>();
	#host: ReplicaHost | undefined;
	#peers!: PeersService;
	#fleet!: FleetService;
	#timer: NodeJS.Timeout | undefined;
	#isConfirming = false;
	#publishedVersion = -1;
	#wasLeader = false;
	#leaderSinceMs = Infinity;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.machine = new ControlStateMachine(({document, shardMap}) => {
			context.view.merge({document, shardMap});
		});
	}

	override get name() {
		return 'control';
	}

	get host(): ReplicaHost | undefined {
		return this.#host;
	}

	/** Term of the leadership of this daemon, `undefined` while another one leads. */
	get leaderTerm(): number | undefined {
		const leadership = this.#host?.leadership(CONTROL_GROUP);
		return leadership?.isLeader ? leadership.term : undefined;
	}

	get isLeader(): boolean {
		return this.leaderTerm !== undefined;
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		this.#fleet = kernel.get<FleetService>('fleet');
		const {settings} = this.#context;
		this.#host = await openReplicaHost(this.#context, this.#peers.network);
		this.#fleet.parts.diskId = this.#host.diskId;
		this.#fleet.followLeadership(this);
		const host = this.#host;
		this.#peers.network.handlePost(
			'replication.deliver',
			deliverInput,
			({from, batch}) => {
				host.receive(asId<DaemonId>(from), batch);
			},
		);
		this.#serve();
		host.onLeadershipChange(() => {
			this.#noteLeadership();
		});
		// Only the first start may form the group; an empty disk that comes later waits to be added.
		const initialVoters = settings.isFirstFormation ? settings.seeds : [];
		await host.addGroup(
			CONTROL_GROUP,
			this.machine,
			initialVoters.map((daemonId) => ({daemonId})),
		);
		this.#context.view.onChange((topic) => {
			if (topic === 'members') {
				this.#stores.note(this.#context.view.membersOf('state'));
			}
		});
		this.#timer = setInterval(() => {
			void this.#tick();
		}, LEADER_TICK_MS);
	}

	override async drain() {
		await this.#host?.drain();
	}

	override async stop() {
		clearInterval(this.#timer);
		await this.#host?.stop();
	}

	/** Proposes the first shard map, or the next one. */
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
		const result = await this.#askLeader<ControlResult>(
			'control.put-document',
			{version, bytes},
		);
		logger.info({
			event: 'document-put',
			documentVersion: version,
			outcome: result.status,
			storedVersion: result.version,
			durationMs: Math.round(performance.now() - startedAtMs),
		});
		return {version: result.version};
	}

	async readDocument(): Promise<Uint8Array | undefined> {
		const {bytes} = await this.#askLeader<{bytes?: Uint8Array}>(
			'control.read-document',
			{},
		);
		return bytes;
	}

	async retireDisk(memberName: string): Promise<void> {
		await this.#askLeader('control.retire-disk', {memberName});
		this.#context.logger.info({event: 'disk-retiring', member: memberName});
	}

	async isDiskEmpty(memberName: string): Promise<boolean> {
		const {isEmpty} = await this.#askLeader<{isEmpty: boolean}>(
			'control.is-disk-empty',
			{memberName},
		);
		return isEmpty;
	}

	/** Calls the listener when this daemon has become the leader. */
	onLeadership(listener: () => void): void {
		this.#leadershipListeners.add(listener);
	}

	async #retireAsLeader(memberName: string): Promise<void> {
		const diskId = this.#stores.planRetirement({
			...this.#describeRetirement(memberName),
			retiringDisks: this.machine.state.shardMap.retiringDisks,
		});
		if (diskId !== undefined) {
			await this.#host!.propose(
				CONTROL_GROUP,
				encodeControlCommand({type: 'retire-disk', diskId}),
			);
		}
	}

	#isEmptyAsLeader(memberName: string): boolean {
		return this.#stores.isEmpty(
			this.#describeRetirement(memberName),
			this.machine.state.shardMap,
			this.#context.view.members.flatMap(({ledGroups}) => ledGroups),
		);
	}

	#describeRetirement(memberName: string) {
		const {replication, timing} = this.#context.settings;
		const leadsForMs = performance.now() - this.#leaderSinceMs;
		return {
			memberName,
			factor: replication.factor,
			isSettled: leadsForMs > SETTLE_INTERVALS * timing.memberSilenceMs,
		};
	}

	#serve(): void {
		const {network} = this.#peers;
		network.handle('control.retire-disk', memberInput, async ({memberName}) => {
			await this.#host!.readBarrier(CONTROL_GROUP);
			await this.#retireAsLeader(memberName);
			return {};
		});
		network.handle(
			'control.is-disk-empty',
			memberInput,
			async ({memberName}) => {
				await this.#host!.readBarrier(CONTROL_GROUP);
				return {isEmpty: this.#isEmptyAsLeader(memberName)};
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
			return {bytes: this.machine.state.document?.bytes};
		});
	}

	async #askLeader<Output>(path: string, input: unknown): Promise<Output> {
		const {leaderId} = this.#host!.leadership(CONTROL_GROUP);
		if (leaderId === undefined) {
			throw new NotLeaderError(CONTROL_GROUP);
		}

		try {
			return await this.#peers.network.call<Output>(leaderId, path, input, {
				timeoutMs: LEADER_CALL_MS,
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
						hint: 'Send the order again, to any control daemon.',
					});
		}
	}

	#noteLeadership(): void {
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
			this.#adoptMembers();
			for (const listener of this.#leadershipListeners) {
				listener();
			}
		}

		this.#wasLeader = isLeader;
		if (isLeader) {
			void this.#tick();
		}

		if (leaderId !== settings.daemonId) {
			this.#publishedVersion = -1;
		}
	}

	/** A new leader starts with the members of the last view, which report within the silence time. */
	#adoptMembers(): void {
		const {roster} = this.#fleet;
		const heardAtMs = performance.now();
		for (const report of this.#context.view.members) {
			if (!roster.members.has(report.daemonId)) {
				recordReport(roster, {report, receivedAtMs: heardAtMs});
			}
		}
	}

	async #tick(): Promise<void> {
		const term = this.leaderTerm;
		if (term === undefined || this.#isConfirming) {
			return;
		}

		this.#fleet.noteSelf();
		this.#fleet.expireSilent();
		this.#publishMembers(term);
		this.#isConfirming = true;
		const startedAtMs = performance.now();
		try {
			await this.#host!.readBarrier(CONTROL_GROUP);
			this.#context.view.confirm(startedAtMs);
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

	/** Publishes the roster when it has changed. */
	#publishMembers(term: number): void {
		const {roster} = this.#fleet;
		if (roster.version !== this.#publishedVersion) {
			this.#publishedVersion = roster.version;
			this.#context.view.merge({
				members: {
					stamp: {term, sequence: roster.version},
					items: listMembers(roster),
				},
			});
		}
	}
}
