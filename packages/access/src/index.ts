export type {AccessDecision, AccessRefusalReason} from './access-decision.ts';
export {type ClockReading, ClockWatch} from './clock-watch.ts';
export {
	type AccessKnowledge,
	decideAccess,
	type GrantedRequest,
	type PresentedKey,
	recheckAccess,
	UNKNOWN_KEY_CONFIRMATION_MS,
} from './decide-access.ts';
export {digestKey} from './digest-key.ts';
export {KeyTable} from './key-table.ts';
export {leaseOfKeysMs} from './lease-of-keys.ts';
