import type {LogRecord} from '@marjoramcove/storage';
import type {GroupPort} from './group-port.ts';
import {type EntrySegment, entryIndex, noteSegment} from './log-records.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {RaftEvent, RaftMessage, RaftState} from './raft-types.ts';

type SyncedEvent = Extract<RaftEvent, {type: 'synced'}>;

/** What a {@link GroupLog} works with. */
export type GroupLogOptions = {
	port: GroupPort;
	/** Where the recovered entries are. */
	segments: EntrySegment[];
	headSegment: number;
	onSynced: (event: SyncedEvent) => void;
};

/** Writes the records of one group to the shared log and holds messages back until they are durable. */
export class GroupLog {
	/** Segment that holds the last rewritten vote and formation. */
	headSegment: number;
	readonly #port: GroupPort;
	readonly #segments: EntrySegment[];
	readonly #onSynced: (event: SyncedEvent) => void;
	#lastWrite = 0;
	#lastSynced = 0;
	#deferred: Array<{
		afterWrite: number;
		to: ReplicaDescriptor;
		message: RaftMessage;
	}> = [];

	constructor(options: GroupLogOptions) {
		this.#port = options.port;
		this.#segments = options.segments;
		this.headSegment = options.headSegment;
		this.#onSynced = options.onSynced;
	}

	/** Lowest segment with entries after the given one. */
	firstSegmentAfter(index: number): number {
		const needed = this.#segments.find((range) => range.lastIndex > index);
		return needed?.segment ?? Number.POSITIVE_INFINITY;
	}

	/** Writes records of this state; resolves with their segment, or undefined when the host failed. */
	async write(
		records: LogRecord[],
		state: RaftState,
	): Promise<number | undefined> {
		this.#lastWrite += 1;
		const write = this.#lastWrite;
		const {log, term, votedFor} = state;
		const {lastIndex: index, lastTerm: entryTerm} = log;
		try {
			const segment = await this.#port.append(records);
			this.#noteRecords(records, segment);
			this.#lastSynced = write;
			this.#releaseDeferred();
			this.#onSynced({type: 'synced', index, entryTerm, term, votedFor});
			return segment;
		} catch (error) {
			this.#port.fail(error);
			return undefined;
		}
	}

	/** Sends a message when everything written so far is durable. */
	sendAfterWrites(to: ReplicaDescriptor, message: RaftMessage): void {
		if (this.#lastWrite > this.#lastSynced) {
			this.#deferred.push({afterWrite: this.#lastWrite, to, message});
		} else {
			this.#port.send(to, message);
		}
	}

	/** Resolves when everything written so far is durable. */
	async afterWrites(): Promise<void> {
		try {
			await this.#port.append([]);
		} catch (error) {
			this.#port.fail(error);
			// The host stops; what waits for the disk must not go on.
			await new Promise<never>(() => {
				// Never settled.
			});
		}
	}

	/** Drops the messages that are held back. */
	stop(): void {
		this.#deferred = [];
	}

	#noteRecords(records: LogRecord[], segment: number) {
		for (const record of records) {
			const index = entryIndex(record);
			if (index !== undefined) {
				noteSegment(this.#segments, segment, index);
			}
		}
	}

	#releaseDeferred() {
		const count = this.#deferred.findIndex(
			(message) => message.afterWrite > this.#lastSynced,
		);
		const released = this.#deferred.splice(
			0,
			count === -1 ? this.#deferred.length : count,
		);
		for (const {to, message} of released) {
			this.#port.send(to, message);
		}
	}
}
