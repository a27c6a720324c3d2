/*
 * Decides which team a request belongs to and whether its key is valid.
 *
 * The load that it answers: several teams share a deployment, keys are removed while requests are in progress,
 * and daemons are cut off, stopped or suspended meanwhile.
 */
import type {CallerId, KeyDigest} from '@marjoramcove/types';
import type {AccessDecision, AccessRefusalReason} from './access-decision.ts';
import type {KeyTable} from './key-table.ts';

/**
 * Age of a confirmation up to which an unknown key is refused for good. Confirmations arrive several times a
 * second; with an older one the key may be in a newer document.
 */
export const UNKNOWN_KEY_CONFIRMATION_MS = 1500;

/** What a daemon knows about the document in force. */
export type AccessKnowledge = {
	/** Absent if the document has no teams, so that callers need no key. */
	keys: KeyTable | undefined;
	/** Time since a quorum confirmed that there was no newer document; `Infinity` if that is not certain. */
	confirmedAgeMs: number;
	/** Age of a confirmation from which a key of the document may have been removed. */
	leaseMs: number;
};

/** A key as presented by the caller: absent, in a form that no key has, or its digest. */
export type PresentedKey =
	{type: 'none'} | {type: 'unreadable'} | {type: 'digest'; digest: KeyDigest};

const refuse = (reason: AccessRefusalReason): AccessDecision => ({
	type: 'refused',
	reason,
});

/** Decides about a request without a valid key. */
const decideWithoutTeam = (
	{confirmedAgeMs, leaseMs}: AccessKnowledge,
	presented: PresentedKey,
	isPublic: boolean,
): AccessDecision => {
	if (isPublic) {
		// A key that is not known now may belong to a team, which must be known for as long as the lease lasts.
		return presented.type === 'digest' && confirmedAgeMs > leaseMs
			? refuse('configuration-not-confirmed')
			: {type: 'granted'};
	}

	if (confirmedAgeMs > UNKNOWN_KEY_CONFIRMATION_MS) {
		return refuse('configuration-not-confirmed');
	}

	return refuse(presented.type === 'none' ? 'key-missing' : 'key-unknown');
};

/**
 * Decides about a request that arrives.
 *
 * @example
 * ```ts
 * const decision = decideAccess({keys, confirmedAgeMs: 200, leaseMs: 3000}, {type: 'digest', digest}, false);
 * ```
 */
export const decideAccess = (
	knowledge: AccessKnowledge,
	presented: PresentedKey,
	isPublic: boolean,
): AccessDecision => {
	const {keys, confirmedAgeMs, leaseMs} = knowledge;
	if (!keys) {
		return {type: 'granted'};
	}

	const team =
		presented.type === 'digest' ? keys.findByKey(presented.digest) : undefined;
	if (presented.type !== 'digest' || !team) {
		return decideWithoutTeam(knowledge, presented, isPublic);
	}

	return confirmedAgeMs > leaseMs
		? refuse('configuration-not-confirmed')
		: {
				type: 'granted',
				teamId: team.id,
				keyDigest: presented.digest,
				priority: team.priority,
			};
};

/** What was decided about a request when it arrived. */
export type GrantedRequest = {
	teamId?: CallerId;
	keyDigest?: KeyDigest;
};

/**
 * Decides again about a request that is about to be sent, on the document in force then.
 *
 * @param isPublic - whether the route is public in that document.
 * @returns the reason of a refusal; `undefined` if the request may be sent. `configuration-not-confirmed` is
 * also returned if the request would now belong to another team or need a key: a retry is decided anew.
 * @example
 * ```ts
 * const reason = recheckAccess({keys, confirmedAgeMs: 200, leaseMs: 3000}, request, false);
 * ```
 */
export const recheckAccess = (
	knowledge: AccessKnowledge,
	{teamId, keyDigest}: GrantedRequest,
	isPublic: boolean,
): AccessRefusalReason | undefined => {
	const {keys} = knowledge;
	if (!keys || keyDigest === undefined) {
		// Without teams, the headers of the caller are forwarded, which a request with a key does not allow.
		const isUnchanged = keys ? isPublic : keyDigest === undefined;
		return isUnchanged ? undefined : 'configuration-not-confirmed';
	}

	const decision = decideAccess(
		knowledge,
		{type: 'digest', digest: keyDigest},
		isPublic,
	);
	if (decision.type === 'refused') {
		return decision.reason;
	}

	return decision.teamId === teamId ? undefined : 'configuration-not-confirmed';
};
