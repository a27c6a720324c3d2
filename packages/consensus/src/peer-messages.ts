import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import type {Membership} from './membership.ts';
import type {RaftMessage} from './raft-types.ts';

/** Transfers a snapshot and the missing range of the history. The receiver requests one chunk at a time. */
export type SnapshotTransferMessage =
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

/** Forms the initial membership of a group whose disk ids are not known in advance. */
export type FormationMessage =
	/** The coordinator asks the receiver for a promise. */
	| {type: 'form-query'}
	/** The sender is new and will join only the membership that this coordinator disk forms. */
	| {type: 'form-promise'}
	/** The sender knows the memberships of the group. */
	| {
			type: 'form-result';
			/** Disk of the coordinator that formed the initial membership. */
			formedBy: DiskId;
			/** The initial membership. */
			membership: Membership;
			/** The current membership. A disk that wants to join queries its members, too. */
			current: Membership;
	  }
	/** A replica that is not a member, or knows no leader, asks for the memberships. */
	| {type: 'form-ask'}
	/** The group is not formed as far as the sender knows, and these daemons are to form it. */
	| {type: 'form-voters'; voterIds: readonly DaemonId[]};

export type PeerMessage =
	FormationMessage | RaftMessage | SnapshotTransferMessage;

/** Messages of all groups from one disk to another. */
export type PeerBatch = {
	from: DiskId;
	/** Disk of the receiver. Empty when unknown, which is allowed for formation messages only. */
	to: DiskId | '';
	messages: Array<{groupId: GroupId; message: PeerMessage}>;
};

/** Whether a message belongs to the formation of a group. */
export const isFormationMessage = (
	message: PeerMessage,
): message is FormationMessage => message.type.startsWith('form-');
