import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import type {PeerAddress} from './group-host.ts';
import {encodePeerBatch} from './peer-codec.ts';
import type {PeerBatch, PeerMessage} from './peer-messages.ts';

/** Maximum payload bytes of a batch. A single larger message is sent on its own. */
const BATCH_BYTES = 1024 * 1024;

const payloadSize = (message: PeerMessage) => {
	if (message.type === 'append') {
		let sizeBytes = 0;
		for (const entry of message.entries) {
			sizeBytes += entry.command.length;
		}

		return sizeBytes;
	}

	return 'bytes' in message ? message.bytes.length : 0;
};

/** Queues the messages of all groups and sends them in batches per peer. */
export class Outbox {
	readonly #self: DiskId;
	readonly #send: (to: DaemonId, batch: Uint8Array) => void;
	readonly #pending = new Map<
		string,
		{to: PeerAddress; messages: PeerBatch['messages']}
	>();

	constructor(self: DiskId, send: (to: DaemonId, batch: Uint8Array) => void) {
		this.#self = self;
		this.#send = send;
	}

	add(to: PeerAddress, groupId: GroupId, message: PeerMessage): void {
		const key = `${to.daemonId} ${to.diskId}`;
		const pending = this.#pending.get(key);
		if (pending) {
			pending.messages.push({groupId, message});
		} else {
			this.#pending.set(key, {to, messages: [{groupId, message}]});
		}
	}

	flush(): void {
		for (const {to, messages} of this.#pending.values()) {
			for (const part of splitBySize(messages)) {
				this.#send(
					to.daemonId,
					encodePeerBatch({from: this.#self, to: to.diskId, messages: part}),
				);
			}
		}

		this.#pending.clear();
	}

	clear(): void {
		this.#pending.clear();
	}
}

const splitBySize = (messages: PeerBatch['messages']) => {
	const parts: Array<PeerBatch['messages']> = [[]];
	let sizeBytes = 0;
	for (const item of messages) {
		const itemBytes = payloadSize(item.message);
		if (sizeBytes > 0 && sizeBytes + itemBytes > BATCH_BYTES) {
			parts.push([]);
			sizeBytes = 0;
		}

		parts.at(-1)!.push(item);
		sizeBytes += itemBytes;
	}

	return parts;
};
