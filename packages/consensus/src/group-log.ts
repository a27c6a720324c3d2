import type {LogRecord} from '@marjoramcove/storage';
import type {GroupHost} from './group-host.ts';
import {type EntrySegment, entryIndex, recordSegment} from './log-records.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {RaftEvent, RaftMessage, RaftState} from './raft-types.ts';

type SyncedEvent = Extract<RaftEvent, {type: 'synced'}>;

/** Dependencies of a {@link GroupLog}. */
export type GroupLogOptions = {
	host: GroupHost;
	/** Segments that hold the recovered entries. */
	segments: EntrySegment[];
	metadataSegment: number;
	onSynced: (event: SyncedEvent) => void;
};

/** Writes the records of one group to the shared log and delays messages until those are durable. */
export class GroupLog {
	/** Segment with the latest rewritten hard state (term and vote) and formation. */
	metadataSegment: number;
	readonly #host: GroupHost;
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
		this.#host = options.host;
		this.#segments = options.segments;
		this.metadataSegment = options.metadataSegment;
		this.#onSynced = options.onSynced;
	}

	/** Lowest segment that holds entries after the given index. */
	firstSegmentAfter(index: number): number {
		const needed = this.#segments.find((range) => range.lastIndex > index);
		return needed?.segment ?? Number.POSITIVE_INFINITY;
	}

	/** Writes records. Resolves with their segment, or `undefined` when the host failed. */
	async write(
		records: LogRecord[],
		state: RaftState,
	): Promise<number | undefined> {
		this.#lastWrite += 1;
		const write = this.#lastWrite;
		const {log, term, votedFor} = state;
		const {lastIndex: index, lastTerm: entryTerm} = log;
		try {
			const segment = await this.#host.append(records);
			this.#recordSegments(records, segment);
			this.#lastSynced = write;
			this.#sendDeferred();
			this.#onSynced({type: 'synced', index, entryTerm, term, votedFor});
			return segment;
		} catch (error) {
			this.#host.fail(error);
			return undefined;
		}
	}

	/** Sends a message once all earlier writes are durable. */
	sendAfterWrites(to: ReplicaDescriptor, message: RaftMessage): void {
		if (this.#lastWrite > this.#lastSynced) {
			this.#deferred.push({afterWrite: this.#lastWrite, to, message});
		} else {
			this.#host.send(to, message);
		}
	}

	/** Resolves when all earlier writes are durable. */
	async waitForWrites(): Promise<void> {
		try {
			await this.#host.append([]);
		} catch (error) {
			this.#host.fail(error);
			// The host is stopping, so code that waits for the disk must not continue.
			await new Promise<never>(() => {
				// Never settles.
			});
		}
	}

	/** Drops the delayed messages. */
	stop(): void {
		this.#deferred = [];
	}

	#recordSegments(records: LogRecord[], segment: number) {
		for (const record of records) {
			const index = entryIndex(record);
			if (index !== undefined) {
				recordSegment(this.#segments, segment, index);
			}
		}
	}

	#sendDeferred() {
		const count = this.#deferred.findIndex(
			(message) => message.afterWrite > this.#lastSynced,
		);
		const ready = this.#deferred.splice(
			0,
			count === -1 ? this.#deferred.length : count,
		);
		for (const {to, message} of ready) {
			this.#host.send(to, message);
		}
	}
}
