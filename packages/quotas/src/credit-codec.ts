import {asId, type CallerId} from '@marjoramcove/types';
import type {
	CreditAnswer,
	CreditGrant,
	CreditMessage,
	CreditRequest,
} from './quota-messages.ts';

/** Fields of a message or grant for one team in a fixed order; what is zero or empty at the end is left out. */
export type PackedFields = [
	teamId: string,
	...fields: Array<number | number[] | undefined>,
];

/** A {@link CreditMessage} without names of fields, a fifth of its size. */
export type PackedCreditMessage = {
	from: string;
	seq: number;
	epoch?: string;
	teams: PackedFields[];
};

/** A {@link CreditAnswer} without names of fields. */
export type PackedCreditAnswer = {epoch: string; teams: PackedFields[]};

const isDefault = (field: number | number[] | undefined | string): boolean =>
	field === undefined ||
	field === 0 ||
	(Array.isArray(field) && field.length === 0);

const trim = (fields: PackedFields): PackedFields => {
	const end = fields.findLastIndex((field) => !isDefault(field));
	return fields.slice(0, end + 1) as PackedFields;
};

const asCount = (field: unknown): number =>
	typeof field === 'number' ? field : 0;

const asOptional = (field: unknown): number | undefined =>
	typeof field === 'number' ? field : undefined;

const asList = (field: unknown): number[] =>
	Array.isArray(field) ? (field as number[]) : [];

const packRequest = ({
	teamId,
	waiting,
	expected,
	programs,
	returned,
}: CreditRequest): PackedFields =>
	trim([
		teamId,
		waiting,
		expected,
		programs,
		returned.continuing,
		returned['first-turn'],
	]);

const unpackRequest = ([
	teamId,
	waiting,
	expected,
	programs,
	continuing,
	firstTurn,
]: PackedFields): CreditRequest => ({
	teamId: asId<CallerId>(teamId),
	waiting: asCount(waiting),
	expected: asCount(expected),
	programs: asList(programs),
	returned: {
		continuing: asCount(continuing),
		'first-turn': asCount(firstTurn),
	},
});

const packGrant = ({
	teamId,
	granted,
	knownPrograms,
	retryAfterMs,
	retryStepMs,
}: CreditGrant): PackedFields =>
	trim([
		teamId,
		granted.continuing,
		granted['first-turn'],
		knownPrograms,
		// A delay of zero is told apart from an absent one by the refused request, which has both values.
		retryStepMs.continuing && Math.ceil(retryAfterMs.continuing ?? 0),
		retryStepMs.continuing && Math.ceil(retryStepMs.continuing),
		retryStepMs['first-turn'] && Math.ceil(retryAfterMs['first-turn'] ?? 0),
		retryStepMs['first-turn'] && Math.ceil(retryStepMs['first-turn']),
	]);

const unpackGrant = ([
	teamId,
	continuing,
	firstTurn,
	knownPrograms,
	continuingAfterMs,
	continuingStepMs,
	firstAfterMs,
	firstStepMs,
]: PackedFields): CreditGrant => ({
	teamId: asId<CallerId>(teamId),
	granted: {continuing: asCount(continuing), 'first-turn': asCount(firstTurn)},
	knownPrograms: asList(knownPrograms),
	retryAfterMs: {
		continuing: asOptional(continuingAfterMs),
		'first-turn': asOptional(firstAfterMs),
	},
	retryStepMs: {
		continuing: asOptional(continuingStepMs),
		'first-turn': asOptional(firstStepMs),
	},
});

/**
 * Packs a message for the network.
 *
 * @example
 * ```ts
 * unpackCreditMessage(packCreditMessage(message)); // equals the message
 * ```
 */
export const packCreditMessage = ({
	borrowerId,
	sequence,
	ownerEpoch,
	requests,
}: CreditMessage): PackedCreditMessage => ({
	from: borrowerId,
	seq: sequence,
	...(ownerEpoch !== undefined && {epoch: ownerEpoch}),
	teams: requests.map((request) => packRequest(request)),
});

/** Reverses {@link packCreditMessage}. */
export const unpackCreditMessage = ({
	from,
	seq,
	epoch,
	teams,
}: PackedCreditMessage): CreditMessage => ({
	borrowerId: from,
	sequence: seq,
	...(epoch !== undefined && {ownerEpoch: epoch}),
	requests: teams.map((fields) => unpackRequest(fields)),
});

/** Packs an answer for the network; delays are rounded up to milliseconds. */
export const packCreditAnswer = ({
	ownerEpoch,
	grants,
}: CreditAnswer): PackedCreditAnswer => ({
	epoch: ownerEpoch,
	teams: grants.map((grant) => packGrant(grant)),
});

/** Reverses {@link packCreditAnswer}. */
export const unpackCreditAnswer = ({
	epoch,
	teams,
}: PackedCreditAnswer): CreditAnswer => ({
	ownerEpoch: epoch,
	grants: teams.map((fields) => unpackGrant(fields)),
});
