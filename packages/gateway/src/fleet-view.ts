import {type ClockReading, ClockWatch} from '@marjoramcove/access';
import type {ShardMap, StoredDocument} from '@marjoramcove/control-state';
import {
	applyMemberChanges,
	compareStamps,
	type FleetMember,
	type FleetRole,
	isNewer,
	type MemberChanges,
	MemberHistory,
	type MemberList,
	type Stamp,
} from '@marjoramcove/fleet';
import type {ListedServer} from '@marjoramcove/inventory';
import type {DaemonId} from '@marjoramcove/types';

/** A list published by a leader, with the stamp of its version. */
export type StampedList<Item> = {stamp: Stamp; items: Item[]};

/** The topics of a view; the version of each topic only increases. */
export type FleetTopics = {
	members?: MemberList;
	servers?: StampedList<ListedServer>;
	document?: StoredDocument;
	shardMap?: ShardMap;
};

/** Topics that a view lacks; the members are sent as changes where the sender knows them. */
export type TopicUpdate = FleetTopics & {memberChanges?: MemberChanges};

/** Change that listeners are notified of; confirmations and jumps of the clocks carry no data of their own. */
export type FleetTopic = keyof FleetTopics | 'clocks' | 'confirmation';

/** Confirmations arrive several times per second; a longer gap means that they were interrupted. */
const CONFIRMATION_GAP_MS = 1500;

/** Versions of the topics of a view, so that only newer topics are sent to it. */
export type ViewPosition = {
	members?: Stamp;
	servers?: Stamp;
	documentVersion: number;
	shardMapVersion: number;
};

/** State of the deployment as known to this daemon. */
export class FleetView {
	readonly topics: FleetTopics = {};
	/** Leader of the configuration group, if known. */
	leaderId: DaemonId | undefined;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#surelyConfirmedAtMs = Number.NEGATIVE_INFINITY;
	#clockJumps = 0;
	#lastJump: {atMs: number; jumpMs: number} | undefined;
	readonly #readClocks: (() => ClockReading) | undefined;
	readonly #clockWatch: ClockWatch | undefined;
	readonly #listeners = new Set<(topic: FleetTopic) => void>();
	readonly #history: MemberHistory | undefined;
	/** Whether the known members turned out to differ from those of other daemons under the same stamp. */
	#needsAllMembers = false;

	/**
	 * @param options.keepsHistory - whether other daemons take their view from this one.
	 * @param options.readClocks - absent if jumps of the clocks are not watched.
	 */
	constructor({
		keepsHistory = false,
		readClocks,
	}: {
		keepsHistory?: boolean;
		readClocks?: () => ClockReading;
	} = {}) {
		this.#history = keepsHistory ? new MemberHistory() : undefined;
		this.#readClocks = readClocks;
		this.#clockWatch = readClocks && new ClockWatch(readClocks());
	}

	/** Monotonic time at which a quorum last confirmed that there was no newer document. */
	get confirmedAtMs(): number {
		return this.#confirmedAtMs;
	}

	/**
	 * Like {@link confirmedAtMs}, but unknown (negative infinity) after a jump of the clocks until the next
	 * confirmation. Call {@link checkClocks} first.
	 */
	get surelyConfirmedAtMs(): number {
		return this.#surelyConfirmedAtMs;
	}

	/** Number of jumps of the clocks so far. A confirmation that was requested before a jump is not sure. */
	get clockJumps(): number {
		return this.#clockJumps;
	}

	/** Monotonic time at which the last jump of the clocks was noticed, and its length. */
	get lastJump(): {atMs: number; jumpMs: number} | undefined {
		return this.#lastJump;
	}

	get members(): FleetMember[] {
		return this.topics.members?.items ?? [];
	}

	get servers(): ListedServer[] {
		return this.topics.servers?.items ?? [];
	}

	get position(): ViewPosition {
		const {members, servers, document, shardMap} = this.topics;
		return {
			members: this.#needsAllMembers ? undefined : members?.stamp,
			servers: servers?.stamp,
			documentVersion: document?.version ?? 0,
			shardMapVersion: shardMap?.version ?? 0,
		};
	}

	membersWithRole(role: FleetRole): FleetMember[] {
		return this.members.filter((member) => member.role === role);
	}

	/** Registers a listener that is called after a topic changed. */
	onChange(listener: (topic: FleetTopic) => void): void {
		this.#listeners.add(listener);
	}

	/** Resolves at the next change of any topic or after the timeout. */
	async waitForChange(timeoutMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				this.#listeners.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, timeoutMs);
			this.#listeners.add(finish);
		});
	}

	/** Looks at the clocks. After a jump, the last confirmation may be older than it seems, so it is not sure. */
	checkClocks(): void {
		const reading = this.#readClocks?.();
		const jumpMs = reading && this.#clockWatch!.observe(reading);
		if (jumpMs !== undefined) {
			this.#clockJumps++;
			this.#lastJump = {atMs: reading!.monotonicMs, jumpMs};
			this.#surelyConfirmedAtMs = Number.NEGATIVE_INFINITY;
			this.#notify('clocks');
		}
	}

	/**
	 * Records a confirmation. Listeners are notified only after a gap, because waiting daemons need it then.
	 *
	 * @param clockJumps - {@link clockJumps} when the confirmation was requested.
	 */
	recordConfirmation(atMs: number, clockJumps = this.#clockJumps): void {
		this.checkClocks();
		const isSure = clockJumps === this.#clockJumps;
		const gapMs =
			atMs - (isSure ? this.#surelyConfirmedAtMs : this.#confirmedAtMs);
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
		if (isSure) {
			this.#surelyConfirmedAtMs = Math.max(this.#surelyConfirmedAtMs, atMs);
		}

		if (gapMs > CONFIRMATION_GAP_MS) {
			this.#notify('confirmation');
		}
	}

	/**
	 * Adopts the topics that are newer than the known ones and ignores the others.
	 *
	 * @returns whether changes of the members did not fit, so that the whole list is needed.
	 */
	merge(update: TopicUpdate): {isDiverged: boolean} {
		const {members, memberChanges, servers, document, shardMap} = update;
		const known = this.position;
		const isDiverged = memberChanges
			? !this.#mergeMemberChanges(memberChanges)
			: false;
		if (members) {
			this.#mergeMembers(members);
		}

		if (servers && isNewer(servers.stamp, known.servers)) {
			this.topics.servers = servers;
			this.#notify('servers');
		}

		if (document && document.version > known.documentVersion) {
			this.topics.document = document;
			this.#notify('document');
		}

		if (shardMap && shardMap.version > known.shardMapVersion) {
			this.topics.shardMap = shardMap;
			this.#notify('shardMap');
		}

		return {isDiverged};
	}

	/**
	 * Keeps only the version of the document, because its bytes contain the keys of teams. Daemons call it that
	 * do not pass the document on, once they have decoded it.
	 */
	releaseDocument(): void {
		const {document} = this.topics;
		if (document) {
			this.topics.document = {
				version: document.version,
				bytes: new Uint8Array(),
			};
		}
	}

	/** Returns the topics that a view at this position lacks; `undefined` if it lacks none. */
	topicsNewerThan(position: ViewPosition): TopicUpdate | undefined {
		const {members, servers, document, shardMap} = this.topics;
		const newer: TopicUpdate = {
			...(members &&
				isNewer(members.stamp, position.members) &&
				this.#membersSince(position.members, members)),
			...(servers && isNewer(servers.stamp, position.servers) && {servers}),
			...(document &&
				document.version > position.documentVersion && {document}),
			...(shardMap &&
				shardMap.version > position.shardMapVersion && {shardMap}),
		};
		return Object.keys(newer).length > 0 ? newer : undefined;
	}

	#membersSince(
		since: Stamp | undefined,
		members: MemberList,
	): Pick<TopicUpdate, 'memberChanges' | 'members'> {
		const memberChanges = since && this.#history?.changesSince(since, members);
		return memberChanges ? {memberChanges} : {members};
	}

	#mergeMembers(members: MemberList): void {
		const known = this.topics.members;
		const order = known ? compareStamps(members.stamp, known.stamp) : 1;
		if (order < 0 || (order === 0 && !this.#needsAllMembers)) {
			return;
		}

		this.#history?.record(known, members);
		this.#needsAllMembers = false;
		this.topics.members = members;
		this.#notify('members');
	}

	/** @returns `false` if the changes are based on the known members but yield a list with another digest. */
	#mergeMemberChanges(changes: MemberChanges): boolean {
		const known = this.topics.members;
		if (
			!known ||
			!isNewer(changes.stamp, known.stamp) ||
			compareStamps(changes.base, known.stamp) !== 0
		) {
			// An answer to an earlier position; the next one fits the present position.
			return true;
		}

		const members = applyMemberChanges(known, changes);
		if (!members) {
			this.#needsAllMembers = true;
			return false;
		}

		this.#mergeMembers(members);
		return true;
	}

	#notify(topic: FleetTopic): void {
		for (const listener of this.#listeners) {
			listener(topic);
		}
	}
}
