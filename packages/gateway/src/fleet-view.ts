import type {ShardMap, StoredDocument} from '@marjoramcove/control-state';
import {
	type FleetMember,
	type FleetRole,
	isNewer,
	type Stamp,
} from '@marjoramcove/fleet';
import type {ListedServer} from '@marjoramcove/inventory';
import type {DaemonId} from '@marjoramcove/types';

/** A list that one leader publishes, and which state of it this is. */
export type StampedList<Item> = {stamp: Stamp; items: Item[]};

/** The topics of a view; each one only moves forward. */
export type FleetTopics = {
	members?: StampedList<FleetMember>;
	servers?: StampedList<ListedServer>;
	document?: StoredDocument;
	shardMap?: ShardMap;
};

/** What a listener is told about; a confirmation carries no data of its own. */
export type FleetTopic = keyof FleetTopics | 'confirmation';

/** Confirmations come several times a second; a longer gap means that they were interrupted. */
const CONFIRMATION_GAP_MS = 1500;

/** How far a view is, so that only newer topics are sent to it. */
export type ViewPosition = {
	members?: Stamp;
	servers?: Stamp;
	documentVersion: number;
	shardMapVersion: number;
};

/** What this daemon knows of the deployment. */
export class FleetView {
	readonly topics: FleetTopics = {};
	/** Leader of the configuration group, as far as it is known. */
	leaderId: DaemonId | undefined;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	readonly #listeners = new Set<(topic: FleetTopic) => void>();

	/** Time by the monotonic clock at which a quorum is known to have had no newer document. */
	get confirmedAtMs(): number {
		return this.#confirmedAtMs;
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
			members: members?.stamp,
			servers: servers?.stamp,
			documentVersion: document?.version ?? 0,
			shardMapVersion: shardMap?.version ?? 0,
		};
	}

	membersOf(role: FleetRole): FleetMember[] {
		return this.members.filter((member) => member.role === role);
	}

	/** Calls the listener after a topic has changed. */
	onChange(listener: (topic: FleetTopic) => void): void {
		this.#listeners.add(listener);
	}

	/** Resolves at the next change of any topic, or after the time. */
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

	/** Takes a confirmation; one after a gap is news for the daemons that wait for it. */
	confirm(atMs: number): void {
		const gapMs = atMs - this.#confirmedAtMs;
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
		if (gapMs > CONFIRMATION_GAP_MS) {
			this.#notify('confirmation');
		}
	}

	/** Takes topics that are newer than the known ones and drops the others. */
	merge(topics: FleetTopics): void {
		const {members, servers, document, shardMap} = topics;
		const known = this.position;
		if (members && isNewer(members.stamp, known.members)) {
			this.topics.members = members;
			this.#notify('members');
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
	}

	/** The topics that a view at this position lacks; `undefined` when it lacks none. */
	newerThan(position: ViewPosition): FleetTopics | undefined {
		const {members, servers, document, shardMap} = this.topics;
		const newer: FleetTopics = {
			...(members && isNewer(members.stamp, position.members) && {members}),
			...(servers && isNewer(servers.stamp, position.servers) && {servers}),
			...(document &&
				document.version > position.documentVersion && {document}),
			...(shardMap &&
				shardMap.version > position.shardMapVersion && {shardMap}),
		};
		return Object.keys(newer).length > 0 ? newer : undefined;
	}

	#notify(topic: FleetTopic): void {
		for (const listener of this.#listeners) {
			listener(topic);
		}
	}
}
