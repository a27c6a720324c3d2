import {messageOf, reasonOf} from '@marjoramcove/errors';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	chooseParent,
	createMembershipTable,
	removeExpiredMembers,
	type FleetMember,
	type LedGroup,
	recordReport,
	type MembershipTable,
} from '@marjoramcove/fleet';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {type SyncInput, syncInput, type SyncOutput} from '../contracts.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {PeersService} from './peers-service.ts';

/** Time beyond the wait of a sync after which the parent counts as failed. */
const SYNC_MARGIN_MS = 700;

/** Time for which a failed parent is left out. */
const PARENT_PENALTY_MS = 1500;

const RETRY_MS = 100;

/** Parts of its report that other services of the daemon fill in. */
export type ReportParts = {
	diskId?: DiskId;
	ledGroups: LedGroup[];
	documentVersion: number;
};

/**
 * Reports this daemon to a parent and takes the view from it; a control daemon is a parent itself. The
 * leader of the configuration group has no parent.
 */
export class FleetService extends Service {
	/** What this control daemon has heard; the leader publishes it. */
	readonly roster: MembershipTable = createMembershipTable();
	readonly parts: ReportParts = {ledGroups: [], documentVersion: 0};
	/** Whether this daemon leads the configuration group; set by the control service. */
	#leadership: {readonly isLeader: boolean} | undefined;
	readonly #context: GatewayContext;
	readonly #failedUntilMs = new Map<DaemonId, number>();
	#peers!: PeersService;
	#sequence = 0;
	#parentId: DaemonId | undefined;
	#parentSinceMs = 0;
	#isStopped = false;
	#isReporting = false;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
	}

	override get name() {
		return 'fleet';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
		if (this.#context.settings.role === 'control') {
			this.#peers.network.handle('fleet.sync', syncInput, async (input) =>
				this.#answerSync(input),
			);
		}

		void this.#syncForever();
	}

	override async stop() {
		this.#isStopped = true;
	}

	/** The control daemon that this one reports to, `undefined` while it looks for one. */
	get parentId(): DaemonId | undefined {
		return this.#parentId;
	}

	get isLeader(): boolean {
		return this.#leadership?.isLeader ?? false;
	}

	/** A control daemon says how it knows whether it leads; the leader publishes its own view. */
	followLeadership(leadership: {readonly isLeader: boolean}): void {
		this.#leadership = leadership;
	}

	/** Tells the parent at once about a change of this daemon. */
	async reportNow(): Promise<void> {
		if (this.#isReporting || this.#isStopped || this.isLeader) {
			this.noteSelf();
			return;
		}

		this.#isReporting = true;
		try {
			await this.#syncOnce(0);
		} finally {
			this.#isReporting = false;
		}
	}

	/** Enters this daemon into its own roster. */
	noteSelf(): void {
		recordReport(this.roster, {
			report: this.#describeSelf(),
			receivedAtMs: performance.now(),
		});
	}

	/** Removes silent daemons from the roster and logs them. */
	expireSilent(): void {
		const {memberSilenceMs} = this.#context.settings.timing;
		const lost = removeExpiredMembers(
			this.roster,
			performance.now(),
			memberSilenceMs,
		);
		for (const {daemonId, name, role} of lost) {
			this.#context.logger.warn({
				event: 'member-lost',
				member: name,
				peer: daemonId,
				role,
				silenceMs: memberSilenceMs,
			});
		}
	}

	#describeSelf(): FleetMember {
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
			...this.parts,
		};
	}

	async #answerSync(input: SyncInput): Promise<SyncOutput> {
		this.#noteReports(input);
		const {view} = this.#context;
		const deadlineMs = performance.now() + input.waitMs;
		const {confirmedAtMs} = view;
		// A first confirmation ends the wait as well: without one a daemon takes no requests.
		const isRegained = () => view.confirmedAtMs - confirmedAtMs > input.waitMs;
		while (
			view.newerThan(input.position) === undefined &&
			!isRegained() &&
			performance.now() < deadlineMs &&
			!this.#isStopped
		) {
			await view.waitForChange(deadlineMs - performance.now());
		}

		const confirmedAgeMs = performance.now() - view.confirmedAtMs;
		return {
			leaderId: view.leaderId,
			confirmedAgeMs: Number.isFinite(confirmedAgeMs)
				? confirmedAgeMs
				: undefined,
			topics: view.newerThan(input.position),
		};
	}

	#noteReports({report, children}: SyncInput): void {
		const nowMs = performance.now();
		let isChanged = recordReport(this.roster, {report, receivedAtMs: nowMs});
		for (const child of children) {
			const heardAtMs = nowMs - child.ageMs;
			isChanged =
				recordReport(this.roster, {
					report: child.report,
					receivedAtMs: heardAtMs,
				}) || isChanged;
		}

		if (isChanged && !this.isLeader) {
			// The leader should hear of a change before the next regular sync.
			void this.reportNow();
		}
	}

	/** Reports that this control daemon heard lately, for the leader. */
	#describeChildren(): SyncInput['children'] {
		const nowMs = performance.now();
		const {daemonId, timing} = this.#context.settings;
		return [...this.roster.members.values()]
			.map(({report, receivedAtMs: heardAtMs}) => ({
				report,
				ageMs: nowMs - heardAtMs,
			}))
			.filter(
				({report, ageMs}) =>
					report.daemonId !== daemonId && ageMs < timing.memberSilenceMs,
			);
	}

	async #syncForever(): Promise<void> {
		const {timing} = this.#context.settings;
		while (!this.#isStopped) {
			if (this.isLeader) {
				await sleep(RETRY_MS);
			} else if (!(await this.#syncOnce(timing.syncWaitMs))) {
				await sleep(RETRY_MS);
			}

			if (this.#context.settings.role === 'control' && !this.isLeader) {
				this.expireSilent();
			}
		}
	}

	/** @returns whether a parent answered. */
	async #syncOnce(waitMs: number): Promise<boolean> {
		const {settings, view, logger} = this.#context;
		const parentId = this.#chooseParent();
		if (parentId === undefined) {
			return false;
		}

		const sentAtMs = performance.now();
		const input: SyncInput = {
			report: this.#describeSelf(),
			children: settings.role === 'control' ? this.#describeChildren() : [],
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
			this.#noteParent(parentId);
			this.#take(output, sentAtMs);
			return true;
		} catch (error) {
			this.#failedUntilMs.set(parentId, performance.now() + PARENT_PENALTY_MS);
			if (this.#parentId === parentId) {
				this.#parentId = undefined;
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

	#chooseParent(): DaemonId | undefined {
		const {settings, view} = this.#context;
		const nowMs = performance.now();
		const current = this.#parentId;
		const mayStay = settings.role !== 'control' || current === view.leaderId;
		if (
			current !== undefined &&
			mayStay &&
			(this.#failedUntilMs.get(current) ?? 0) <= nowMs
		) {
			return current;
		}

		return chooseParent({
			selfId: settings.daemonId,
			zone: settings.zone,
			role: settings.role,
			seeds: settings.seeds,
			members: view.members,
			leaderId: view.leaderId,
			failedUntilMs: this.#failedUntilMs,
			nowMs,
			random: Math.random,
		});
	}

	#noteParent(parentId: DaemonId): void {
		if (this.#parentId !== parentId) {
			this.#parentId = parentId;
			this.#parentSinceMs = performance.now();
			this.#context.logger.info({event: 'parent-found', peer: parentId});
		}
	}

	#take(output: SyncOutput, sentAtMs: number): void {
		const {view, settings, logger} = this.#context;
		if (output.topics) {
			const before = view.position;
			view.merge(output.topics);
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
			// From the time of sending, so that the way there and back does not lengthen the lease.
			const confirmedAtMs = sentAtMs - output.confirmedAgeMs;
			view.confirm(confirmedAtMs);
		}

		// A control daemon learns the leader from its own replica.
		if (settings.role !== 'control') {
			view.leaderId = output.leaderId as DaemonId | undefined;
			this.#leaveStaleParent(output);
		}
	}

	/** A parent that is cut off from the leader has no confirmation to pass on. */
	#leaveStaleParent({confirmedAgeMs}: SyncOutput): void {
		const {memberSilenceMs} = this.#context.settings.timing;
		const isStale = (confirmedAgeMs ?? Infinity) > memberSilenceMs;
		// Right after a restart of all control daemons no parent has a confirmation yet.
		const isKnownLong =
			performance.now() - this.#parentSinceMs > memberSilenceMs;
		if (isStale && isKnownLong && this.#parentId !== undefined) {
			this.#failedUntilMs.set(
				this.#parentId,
				performance.now() + PARENT_PENALTY_MS,
			);
			this.#context.logger.warn({
				event: 'parent-stale',
				peer: this.#parentId,
				confirmedAgeMs,
			});
			this.#parentId = undefined;
		}
	}
}
