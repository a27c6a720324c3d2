import type {CallerId} from '@marjoramcove/types';

/** Rate and burst of a team over all daemons together. */
export type QuotaLimit = {requestsPerSecond: number; burstRequests: number};

/** First turns start a program; all other requests continue one, or belong to none. */
export type RequestClass = 'first-turn' | 'continuing';

/** Numbers of requests by class. */
export type RequestCounts = Record<RequestClass, number>;

/** Precision with which quotas must be enforced over all daemons together. */
export type QuotaTolerance = {
	/** Length of the sliding window in which requests are counted. */
	windowMs: number;
	/** Tolerated overrun as a share of the quota of a window. */
	overrunShare: number;
	/** Tolerated overrun in requests, in addition to the share. */
	overrunRequests: number;
};

/** Credit that an entry daemon asks for and gives back for one team. */
export type CreditRequest = {
	teamId: CallerId;
	/** Continuing requests that wait for credit. */
	waiting: number;
	/** Further continuing requests that the daemon expects before credit of this message expires. */
	expected: number;
	/** Hashes of the programs of the first turns that wait for credit. */
	programs: number[];
	/** Unused credit and credit of requests that did not run. */
	returned: RequestCounts;
};

/** What an entry daemon asks for and gives back. */
export type CreditMessage = {
	/** Daemon and process instance that asks. */
	borrowerId: string;
	/** Increases with each message of a borrower, so that a message takes effect once. */
	sequence: number;
	/** Epoch of the owner that lent the returned credit. */
	ownerEpoch?: string;
	requests: CreditRequest[];
};

/** Credit that the owner of the quotas lends to an entry daemon for one team. */
export type CreditGrant = {
	teamId: CallerId;
	/** Waiting requests come first, so that more than the waiting ones is credit for expected requests. */
	granted: RequestCounts;
	/** Programs of the message that have begun already; their requests count as continuing ones. */
	knownPrograms: number[];
	/** Time after which credit for the first refused request of a class is expected. */
	retryAfterMs: Partial<RequestCounts>;
	/** Time between the credits for further refused requests of a class. */
	retryStepMs: Partial<RequestCounts>;
};

/** Answer of an owner; grants are absent for a message that it has seen already. */
export type CreditAnswer = {ownerEpoch: string; grants: CreditGrant[]};

/** Returns counts of zero. */
export const noRequests = (): RequestCounts => ({
	'first-turn': 0,
	continuing: 0,
});
