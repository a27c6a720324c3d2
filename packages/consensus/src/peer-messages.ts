import type {DiskId, GroupId} from '@marjoramcove/types';
import type {Membership} from './membership.ts';
import type {RaftMessage} from './raft-types.ts';

/** Copies a snapshot and the missing range of the history; the receiver asks for one part at a time. */
export type TransferMessage =
	| {type: 'fetch-snapshot'; index: number; offset: number}
	| {
			type: 'snapshot-chunk';
			index: number;
			offset: number;
			isKept: boolean;
			bytes: Uint8Array;
	  }
	| {type: 'fetch-history'; offset: number; endOffset: number}
	| {type: 'history-chunk'; offset: number; bytes: Uint8Array};

/** Forms the first membership of a group whose disk ids are not known in advance. */
export type FormationMessage =
	/** The coordinator asks whether the receiver is new. */
	| {type: 'form-query'}
	/** The sender is new and will join only what this coordinator disk forms. */
	| {type: 'form-promise'}
	/** The sender knows the first membership; formed by the given coordinator disk. */
	| {
			type: 'form-result';
			formedBy: DiskId;
			/** The first membership. */
			membership: Membership;
			/** The present one: a disk that asks to join asks its members, too. */
			current: Membership;
	  }
	/** A new replica asks for the result. */
	| {type: 'form-ask'};

export type PeerMessage = FormationMessage | RaftMessage | TransferMessage;

/** Messages of all groups from one disk to another. */
export type PeerBatch = {
	from: DiskId;
	/** Disk of the receiver; empty when it is not known, which only formation messages allow. */
	to: DiskId | '';
	messages: Array<{groupId: GroupId; message: PeerMessage}>;
};

/** Whether a message belongs to the formation of a group. */
export const isFormationMessage = (
	message: PeerMessage,
): message is FormationMessage => message.type.startsWith('form-');
