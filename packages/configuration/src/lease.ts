import {assertInvariant} from '@marjoramcove/errors';
import {MAX_CLOCK_DRIFT} from '@marjoramcove/types';
import type {ConfigurationDigest} from './commands.ts';
import {suspendedSince} from './suspended-since.ts';

/** Settings of the lease. */
export type LeaseSettings = {
	/**
	 * A gap between two ticks above which the process counts as frozen. It must be well above the
	 * interval of the ticks.
	 */
	freezeThresholdMs: number;
	/** Heartbeats whose answers are still accepted; older ones are forgotten. */
	heartbeatsInFlight: number;
};

export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
	freezeThresholdMs: 3000,
	heartbeatsInFlight: 64,
};

/**
 * Lease of a daemon on its configuration. Send times and the end of the lease are on the monotonic
 * clock plus the time for which the VM was suspended.
 */
export type LeaseState = {
	settings: LeaseSettings;
	/** Send times of the heartbeats without an answer, with the suspended time added. */
	sentAtMs: Map<number, number>;
	nextSequence: number;
	validUntilMs: number;
	/** Revision that the daemon has applied. */
	appliedRevision: number;
	/** An answer that counts as soon as its revision is applied. */
	pending?: {revision: number; validUntilMs: number};
	/** Newest time seen in an event. */
	lastEventMs: number;
	/** Difference between the wall clock and the monotonic clock at the last tick. */
	wallOffsetMs?: number;
	/** Time for which the monotonic clock stood still while the wall clock ran. */
	suspendedMs: number;
};

export type LeaseEvent =
	/** Regular; `wallMs` is the wall clock, which also runs while the VM is suspended. */
	| {type: 'tick'; wallMs?: number}
	/** A heartbeat is about to be sent; the action carries its sequence number. */
	| {type: 'send-heartbeat'}
	| {
			type: 'heartbeat-answered';
			sequence: number;
			leaseMs: number;
			digest: ConfigurationDigest;
	  }
	| {type: 'revision-applied'; revision: number};

export type LeaseAction =
	| {type: 'send-heartbeat'; sequence: number; appliedRevision: number}
	| {type: 'fetch-changes'; sinceRevision: number}
	| {type: 'freeze-detected'; gapMs: number};

export type LeaseStep = {state: LeaseState; actions: LeaseAction[]};

/** Creates a lease that is not valid. */
export const createLeaseState = (
	settings: Partial<LeaseSettings> = {},
): LeaseState => ({
	settings: {...DEFAULT_LEASE_SETTINGS, ...settings},
	sentAtMs: new Map(),
	nextSequence: 1,
	validUntilMs: Number.NEGATIVE_INFINITY,
	appliedRevision: 0,
	lastEventMs: Number.NEGATIVE_INFINITY,
	suspendedMs: 0,
});

/**
 * Whether the daemon may take new work. A gap since the last event that counts as a freeze makes the
 * lease invalid even before the next tick is handled.
 *
 * @param wallMs - wall clock, which also shows that the VM was suspended since the last tick.
 * @example
 * ```ts
 * if (!isLeaseValid(lease, performance.now(), Date.now())) refuse('configuration-lease-expired');
 * ```
 */
export const isLeaseValid = (
	state: LeaseState,
	nowMs: number,
	wallMs?: number,
): boolean => {
	const suspendedMs =
		wallMs === undefined
			? 0
			: suspendedSince(state.wallOffsetMs, nowMs, wallMs);
	const elapsedMs = nowMs + state.suspendedMs + suspendedMs;
	return (
		elapsedMs < state.validUntilMs &&
		nowMs - state.lastEventMs + suspendedMs <= state.settings.freezeThresholdMs
	);
};

/**
 * Forgets the lease and all heartbeats sent before a freeze, so that the daemon takes no work before
 * it has heard from the leader again.
 */
const dropLease = (state: LeaseState): void => {
	state.validUntilMs = Number.NEGATIVE_INFINITY;
	state.pending = undefined;
	state.sentAtMs.clear();
};

/** Length of a freeze before this event; 0 when there was none. */
const detectFreeze = (
	state: LeaseState,
	event: LeaseEvent,
	nowMs: number,
): number => {
	let gapMs = nowMs - state.lastEventMs;
	if (event.type === 'tick' && event.wallMs !== undefined) {
		const suspendedMs = suspendedSince(state.wallOffsetMs, nowMs, event.wallMs);
		gapMs += suspendedMs;
		state.suspendedMs += suspendedMs;
		state.wallOffsetMs = event.wallMs - nowMs;
	}

	return Number.isFinite(gapMs) && gapMs > state.settings.freezeThresholdMs
		? gapMs
		: 0;
};

const sendHeartbeat = (state: LeaseState, nowMs: number): LeaseAction[] => {
	const sequence = state.nextSequence++;
	state.sentAtMs.set(sequence, nowMs);
	if (state.sentAtMs.size > state.settings.heartbeatsInFlight) {
		const [oldest] = state.sentAtMs.keys();
		state.sentAtMs.delete(oldest!);
	}

	return [
		{type: 'send-heartbeat', sequence, appliedRevision: state.appliedRevision},
	];
};

/** Extends the lease when the daemon has applied the revision of the answer. */
const usePending = (state: LeaseState): void => {
	const {pending} = state;
	if (pending && pending.revision <= state.appliedRevision) {
		state.validUntilMs = Math.max(state.validUntilMs, pending.validUntilMs);
		state.pending = undefined;
	}
};

const takeAnswer = (
	state: LeaseState,
	event: Extract<LeaseEvent, {type: 'heartbeat-answered'}>,
): LeaseAction[] => {
	const sentAtMs = state.sentAtMs.get(event.sequence);
	if (sentAtMs === undefined) {
		return [];
	}

	state.sentAtMs.delete(event.sequence);
	const validUntilMs = sentAtMs + event.leaseMs * (1 - MAX_CLOCK_DRIFT);
	const {revision} = event.digest;
	const {pending} = state;
	if (!pending || revision > pending.revision) {
		state.pending = {revision, validUntilMs};
	} else if (revision === pending.revision) {
		pending.validUntilMs = Math.max(pending.validUntilMs, validUntilMs);
	}

	usePending(state);
	return revision > state.appliedRevision
		? [{type: 'fetch-changes', sinceRevision: state.appliedRevision}]
		: [];
};

/**
 * Advances the lease of a daemon. The lease runs from the time at which the answered heartbeat was
 * sent, is shortened by the largest clock drift, and counts only once the revision of the answer is
 * applied.
 *
 * @param nowMs - monotonic clock of the process.
 */
export const stepLease = (
	state: LeaseState,
	event: LeaseEvent,
	nowMs: number,
): LeaseStep => {
	const actions: LeaseAction[] = [];
	const gapMs = detectFreeze(state, event, nowMs);
	state.lastEventMs = Math.max(state.lastEventMs, nowMs);
	if (gapMs > 0) {
		dropLease(state);
		actions.push({type: 'freeze-detected', gapMs});
	}

	switch (event.type) {
		case 'tick': {
			break;
		}

		case 'send-heartbeat': {
			actions.push(
				...sendHeartbeat(state, state.lastEventMs + state.suspendedMs),
			);
			break;
		}

		case 'heartbeat-answered': {
			actions.push(...takeAnswer(state, event));
			break;
		}

		case 'revision-applied': {
			state.appliedRevision = Math.max(state.appliedRevision, event.revision);
			usePending(state);
			break;
		}
	}

	assertInvariant(
		!state.pending || state.pending.revision > state.appliedRevision,
		'lease-only-for-applied-revision',
		event,
	);
	return {state, actions};
};
