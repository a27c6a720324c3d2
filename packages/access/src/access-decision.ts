import type {CallerId, KeyDigest} from '@marjoramcove/types';

/** Why a request is refused: the key is certainly not valid, or this daemon cannot be sure. */
export type AccessRefusalReason =
	'key-missing' | 'key-unknown' | 'configuration-not-confirmed';

/** Whether a request may run as far as its key is concerned; it has not run when it is refused. */
export type AccessDecision =
	| {
			type: 'granted';
			/** Absent where callers need no key, and on public routes without a valid key. */
			teamId?: CallerId;
			/** Checked again before the request is sent. */
			keyDigest?: KeyDigest;
			/** Priority of the team, if it has one. */
			priority?: number;
	  }
	| {type: 'refused'; reason: AccessRefusalReason};
