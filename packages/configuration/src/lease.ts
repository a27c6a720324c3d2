import {assertInvariant} from '@marjoramcove/errors';
import {MAX_CLOCK_DRIFT} from '@marjoramcove/types';
import type {ConfigurationDigest} from './commands.ts';
import {suspendedDurationMs} from './suspended-duration.ts';

export type LeaseSettings = {
	/**
	 * Gap between two consecutive events above which the process is considered frozen. It must be well
	 * above the tick interval.
	 */
	freezeThresholdMs: number;
	/** Maximum number of unanswered heartbeats; answers to older ones are ignored. */
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
	/** Send times of the unanswered heartbeats, including the suspended time. */
	sentAtMs: Map<number, number>;
	nextSequence: number;
	validUntilMs: number;
	/** Revision that the daemon has applied. */
	appliedRevision: number;
	/** Answer that extends the lease as soon as its revision is applied. */
	pending?: {revision: number; validUntilMs: number};
	/** Latest time of an event. */
	lastEventMs: number;
	/** Wall clock minus monotonic clock at the last tick. */
	wallOffsetMs?: number;
	/** Total time for which the monotonic clock was stopped while the wall clock advanced. */
	suspendedMs: number;
};

export type LeaseEvent =
	/** Periodic event. `wallMs` is the wall clock, which also advances while the VM is suspended. */
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
 * Whether the daemon may accept new work. A gap since the last event that exceeds the freeze threshold
 * invalidates the lease even before the next tick is handled.
 *
 * @param wallMs - wall clock, to detect that the VM was suspended since the last tick.
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
			: suspendedDurationMs(state.wallOffsetMs, nowMs, wallMs);
	const elapsedMs = nowMs + state.suspendedMs + suspendedMs;
	return (
		elapsedMs < state.validUntilMs &&
		nowMs - state.lastEventMs + suspendedMs <= state.settings.freezeThresholdMs
	);
};

/**
 * Drops the lease and all heartbeats sent before a freeze, so that the daemon accepts no work until a
 * new heartbeat is answered.
 */
const dropLease = (state: LeaseState): void => {
	state.validUntilMs = Number.NEGATIVE_INFINITY;
	state.pending = undefined;
	state.sentAtMs.clear();
};

/** Returns the duration of a freeze before this event, or 0 if there was none. */
const detectFreeze = (
	state: LeaseState,
	event: LeaseEvent,
	nowMs: number,
): number => {
	let gapMs = nowMs - state.lastEventMs;
	if (event.type === 'tick' && event.wallMs !== undefined) {
		const suspendedMs = suspendedDurationMs(
			state.wallOffsetMs,
			nowMs,
			event.wallMs,
		);
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

/** Extends the lease if the daemon has applied the revision of the pending answer. */
const applyPendingAnswer = (state: LeaseState): void => {
	const {pending} = state;
	if (pending && pending.revision <= state.appliedRevision) {
		state.validUntilMs = Math.max(state.validUntilMs, pending.validUntilMs);
		state.pending = undefined;
	}
};

const handleHeartbeatAnswer = (
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

	applyPendingAnswer(state);
	return revision > state.appliedRevision
		? [{type: 'fetch-changes', sinceRevision: state.appliedRevision}]
		: [];
};

/**
 * Applies an event to the lease of a daemon. The lease starts when the answered heartbeat was sent, is
 * shortened by the maximum clock drift, and takes effect only once the revision of the answer is
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
			actions.push(...handleHeartbeatAnswer(state, event));
			break;
		}

		case 'revision-applied': {
			state.appliedRevision = Math.max(state.appliedRevision, event.revision);
			applyPendingAnswer(state);
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
