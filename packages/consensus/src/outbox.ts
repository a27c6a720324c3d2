import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import type {PeerAddress} from './group-port.ts';
import {encodePeerBatch} from './peer-codec.ts';
import type {PeerBatch, PeerMessage} from './peer-messages.ts';

/** Upper bound of the binary parts of a batch; one larger message is sent alone. */
const BATCH_BYTES = 1024 * 1024;

const sizeOf = (message: PeerMessage) => {
	if (message.type === 'append') {
		let sizeBytes = 0;
		for (const entry of message.entries) {
			sizeBytes += entry.command.length;
		}

		return sizeBytes;
	}

	return 'bytes' in message ? message.bytes.length : 0;
};

/** Collects the messages of all groups and sends one batch per peer. */
export class Outbox {
	readonly #self: DiskId;
	readonly #send: (to: DaemonId, batch: Uint8Array) => void;
	readonly #waiting = new Map<
		string,
		{to: PeerAddress; messages: PeerBatch['messages']}
	>();

	constructor(self: DiskId, send: (to: DaemonId, batch: Uint8Array) => void) {
		this.#self = self;
		this.#send = send;
	}

	add(to: PeerAddress, groupId: GroupId, message: PeerMessage): void {
		const key = `${to.daemonId} ${to.diskId}`;
		const waiting = this.#waiting.get(key);
		if (waiting) {
			waiting.messages.push({groupId, message});
		} else {
			this.#waiting.set(key, {to, messages: [{groupId, message}]});
		}
	}

	flush(): void {
		for (const {to, messages} of this.#waiting.values()) {
			for (const part of splitBySize(messages)) {
				this.#send(
					to.daemonId,
					encodePeerBatch({from: this.#self, to: to.diskId, messages: part}),
				);
			}
		}

		this.#waiting.clear();
	}

	clear(): void {
		this.#waiting.clear();
	}
}

const splitBySize = (messages: PeerBatch['messages']) => {
	const parts: Array<PeerBatch['messages']> = [[]];
	let sizeBytes = 0;
	for (const item of messages) {
		const added = sizeOf(item.message);
		if (sizeBytes > 0 && sizeBytes + added > BATCH_BYTES) {
			parts.push([]);
			sizeBytes = 0;
		}

		parts.at(-1)!.push(item);
		sizeBytes += added;
	}

	return parts;
};
