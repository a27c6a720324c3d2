import {messageOf, reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createMembershipTable,
	type FleetMember,
	type GroupLeadership,
	type MembershipTable,
	ParentSelector,
	recordReport,
	removeExpiredMembers,
} from '@marjoramcove/fleet';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {dateConfirmation, type SentSync} from '../date-confirmation.ts';
import type {GatewayContext} from '../gateway-context.ts';
import {type SyncInput, syncInput, type SyncOutput} from '../peer-messages.ts';
import type {PeersService} from './peers-service.ts';

/** Time beyond the requested wait after which a sync is considered failed. */
const SYNC_MARGIN_MS = 700;

const RETRY_DELAY_MS = 100;

/** Fields of the report that other services of the daemon set. */
export type ReportFields = {
	diskId?: DiskId;
	ledGroups: GroupLeadership[];
	documentVersion: number;
};

/**
 * Reports this daemon to a parent and receives view updates from it. Control daemons also act as parents.
 * The leader of the configuration group has no parent.
 */
export class FleetService extends Service {
	/** Reports received by this control daemon; the leader publishes them. */
	readonly membershipTable: MembershipTable = createMembershipTable();
	readonly reportFields: ReportFields = {ledGroups: [], documentVersion: 0};
	/** Tells whether this daemon leads the configuration group; set by the control service. */
	#leadership: {readonly isLeader: boolean} | undefined;
	readonly #context: GatewayContext;
	readonly #parents: ParentSelector;
	#peers!: PeersService;
	#sequence = 0;
	#isStopped = false;
	#isReporting = false;
	#isConfirming = false;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		const {daemonId, zone, role, timing} = context.settings;
		if (role === 'control') {
			context.memberReports = this.membershipTable;
		}

		this.#parents = new ParentSelector({
			selfId: daemonId,
			zone,
			role,
			maxConfirmedAgeMs: timing.memberTimeoutMs,
		});
	}

	override get name() {
		return 'fleet';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		if (this.#context.settings.role === 'control') {
			this.#peers.network.handle('fleet.sync', syncInput, async (input) =>
				this.#handleSync(input),
			);
		}

		this.#context.view.onChange((topic) => {
			if (topic === 'clocks') {
				this.#handleClockJump();
			}

			if (topic === 'document' && this.#context.settings.role === 'state') {
				this.#context.view.releaseDocument();
			}
		});
		void this.#runSyncLoop();
	}

	override async stop() {
		this.#isStopped = true;
	}

	/** The control daemon that this one reports to; `undefined` while none is found. */
	get parentId(): DaemonId | undefined {
		return this.#parents.parentId;
	}

	get isLeader(): boolean {
		return this.#leadership?.isLeader ?? false;
	}

	/** Sets the source of the leadership state; the leader does not sync with a parent. */
	setLeadershipSource(leadership: {readonly isLeader: boolean}): void {
		this.#leadership = leadership;
	}

	/** Reports a change of this daemon to the parent immediately. */
	async reportNow(): Promise<void> {
		if (this.#isReporting || this.#isStopped || this.isLeader) {
			this.recordSelf();
			return;
		}

		this.#isReporting = true;
		try {
			await this.#syncOnce(0);
		} finally {
			this.#isReporting = false;
		}
	}

	/** Records the report of this daemon in its own membership table. */
	recordSelf(): void {
		recordReport(this.membershipTable, {
			report: this.#createReport(),
			receivedAtMs: performance.now(),
		});
	}

	/** Removes daemons that stopped reporting and logs them. */
	removeExpiredMembers(): void {
		const {memberTimeoutMs} = this.#context.settings.timing;
		const expired = removeExpiredMembers(
			this.membershipTable,
			performance.now(),
			memberTimeoutMs,
		);
		for (const {daemonId, name, role} of expired) {
			this.#context.logger.warn({
				event: 'member-lost',
				member: name,
				peer: daemonId,
				role,
				silenceMs: memberTimeoutMs,
			});
		}
	}

	/** Asks a parent at once, because requests with a key wait for a sure confirmation. */
	#handleClockJump(): void {
		const {view, logger} = this.#context;
		logger.warn({
			event: 'clocks-jumped',
			jumpMs: Math.round(view.lastJump?.jumpMs ?? 0),
		});
		if (!this.#isConfirming && !this.isLeader && !this.#isStopped) {
			void this.#confirmNow();
		}
	}

	async #confirmNow(): Promise<void> {
		this.#isConfirming = true;
		try {
			await this.#syncOnce(0);
		} finally {
			this.#isConfirming = false;
		}
	}

	#createReport(): FleetMember {
		const {settings, incarnation, phase} = this.#context;
		const {daemonId, name, role, zone, listen} = settings;
		this.#sequence++;
		return {
			daemonId,
			name,
			incarnation,
			sequence: this.#sequence,
			role,
			zone,
			phase,
			entryAddress: listen.entry,
			controlAddress: listen.control,
			...this.reportFields,
		};
	}

	async #handleSync(input: SyncInput): Promise<SyncOutput> {
		this.#recordReports(input);
		const {view} = this.#context;
		const receivedAtMs = performance.now();
		const deadlineMs = receivedAtMs + input.waitMs;
		const {surelyConfirmedAtMs} = view;
		// A confirmation after a gap also ends the wait, because daemons refuse requests without one.
		const isConfirmedAgain = () =>
			view.surelyConfirmedAtMs - surelyConfirmedAtMs > input.waitMs;
		while (
			view.topicsNewerThan(input.position) === undefined &&
			!isConfirmedAgain() &&
			performance.now() < deadlineMs &&
			!this.#isStopped
		) {
			await view.waitForChange(deadlineMs - performance.now());
		}

		// The confirmation must not be newer than the document that is sent with it, so both are read together.
		view.checkClocks();
		const nowMs = performance.now();
		const confirmedAgeMs = nowMs - view.surelyConfirmedAtMs;
		return {
			leaderId: view.leaderId,
			confirmedAgeMs: Number.isFinite(confirmedAgeMs)
				? confirmedAgeMs
				: undefined,
			heldMs: nowMs - receivedAtMs,
			topics: view.topicsNewerThan(input.position),
		};
	}

	#recordReports({report, children}: SyncInput): void {
		const nowMs = performance.now();
		let isChanged = recordReport(this.membershipTable, {
			report,
			receivedAtMs: nowMs,
		});
		for (const child of children) {
			const receivedAtMs = nowMs - child.ageMs;
			isChanged =
				recordReport(this.membershipTable, {
					report: child.report,
					receivedAtMs,
				}) || isChanged;
		}

		if (isChanged && !this.isLeader) {
			// Forward the change to the leader without waiting for the next regular sync.
			void this.reportNow();
		}
	}

	/** Returns the recent reports received by this control daemon, for the leader. */
	#listChildReports(): SyncInput['children'] {
		const nowMs = performance.now();
		const {daemonId, timing} = this.#context.settings;
		return [...this.membershipTable.members.values()]
			.map(({report, receivedAtMs}) => ({
				report,
				ageMs: nowMs - receivedAtMs,
			}))
			.filter(
				({report, ageMs}) =>
					report.daemonId !== daemonId && ageMs < timing.memberTimeoutMs,
			);
	}

	async #runSyncLoop(): Promise<void> {
		const {timing} = this.#context.settings;
		while (!this.#isStopped) {
			if (this.isLeader) {
				await sleep(RETRY_DELAY_MS);
			} else if (!(await this.#syncOnce(timing.syncWaitMs))) {
				await sleep(RETRY_DELAY_MS);
			}

			if (this.#context.settings.role === 'control' && !this.isLeader) {
				this.removeExpiredMembers();
			}
		}
	}

	/** @returns whether a parent responded. */
	async #syncOnce(longestWaitMs: number): Promise<boolean> {
		const {settings, view, logger} = this.#context;
		const parentId = this.#parents.choose(
			{
				seeds: settings.seeds,
				members: view.members,
				leaderId: view.leaderId,
			},
			performance.now(),
		);
		if (parentId === undefined) {
			return false;
		}

		view.checkClocks();
		const {clockJumps} = view;
		const sentAtMs = performance.now();
		// A candidate answers at once, so that one without a confirmation costs no time.
		const isCandidate =
			settings.role !== 'control' && parentId !== this.parentId;
		const waitMs = isCandidate ? 0 : longestWaitMs;
		const input: SyncInput = {
			report: this.#createReport(),
			children: settings.role === 'control' ? this.#listChildReports() : [],
			position: view.position,
			waitMs,
		};
		try {
			const output = await this.#peers.network.call<SyncOutput>(
				parentId,
				'fleet.sync',
				input,
				{timeoutMs: waitMs + SYNC_MARGIN_MS, channel: 'control'},
			);
			this.#recordResponse(parentId, output);
			this.#applySyncOutput(parentId, output, {sentAtMs, waitMs, clockJumps});
			return true;
		} catch (error) {
			if (this.#parents.recordFailure(parentId, performance.now())) {
				logger.warn({
					event: 'parent-lost',
					peer: parentId,
					reason: reasonOf(error),
					error: messageOf(error),
				});
			}

			return false;
		}
	}

	#recordResponse(parentId: DaemonId, {confirmedAgeMs}: SyncOutput): void {
		const {logger} = this.#context;
		const nowMs = performance.now();
		const change = this.#parents.recordResponse(
			parentId,
			confirmedAgeMs,
			nowMs,
		);
		const details = {peer: parentId, confirmedAgeMs};
		if (change === 'found') {
			logger.info({event: 'parent-found', ...details});
		} else if (change === 'stale') {
			logger.warn({event: 'parent-stale', ...details});
		}
	}

	#applySyncOutput(
		parentId: DaemonId,
		output: SyncOutput,
		sent: SentSync,
	): void {
		const {view, settings, logger} = this.#context;
		if (output.topics) {
			const before = view.position;
			const {isDiverged} = view.merge(output.topics);
			if (isDiverged) {
				logger.warn({
					event: 'members-diverged',
					peer: parentId,
					membersTerm: before.members?.term,
					membersSequence: before.members?.sequence,
				});
			}

			const after = view.position;
			logger.info({
				event: 'view-updated',
				topics: Object.keys(output.topics).join(','),
				documentVersion: after.documentVersion,
				documentVersionBefore: before.documentVersion,
				membersTerm: after.members?.term,
				membersSequence: after.members?.sequence,
				serversTerm: after.servers?.term,
				serversSequence: after.servers?.sequence,
				shardMapVersion: after.shardMapVersion,
			});
		}

		if (output.confirmedAgeMs !== undefined) {
			view.recordConfirmation(
				dateConfirmation(sent, output, performance.now()),
				sent.clockJumps,
			);
		}

		// A control daemon knows the leader from its own replica.
		if (settings.role !== 'control') {
			view.leaderId = output.leaderId as DaemonId | undefined;
		}
	}
}
