export {
	packCreditAnswer,
	packCreditMessage,
	type PackedCreditAnswer,
	type PackedCreditMessage,
	unpackCreditAnswer,
	unpackCreditMessage,
} from './credit-codec.ts';
export {CREDIT_LIFETIME_MS, deriveCapacity} from './derive-capacity.ts';
export {QuotaBorrower} from './quota-borrower.ts';
export type {
	QuotaDecision,
	QuotaRequest,
	SettledTicket,
} from './quota-decision.ts';
export {
	type CreditAnswer,
	type CreditGrant,
	type CreditMessage,
	type CreditRequest,
	type QuotaLimit,
	type QuotaTolerance,
	type RequestClass,
	type RequestCounts,
} from './quota-messages.ts';
export {type LimitedChange, QuotaOwner} from './quota-owner.ts';
export {type TeamUse} from './team-bucket.ts';
export {largestWindow, windowBound} from './window-check.ts';
