import type {
	MembershipAction,
	MembershipEvent,
	MembershipState,
	UpstreamStatus,
} from './state.ts';
import type {UpstreamId} from '@marjoramcove/types';

type EventOf<Type extends MembershipEvent['type']> = Extract<
	MembershipEvent,
	{type: Type}
>;

const isReportedLeaving = (upstream: UpstreamStatus): boolean =>
	upstream.labelledLeaving || upstream.healthLeaving || upstream.listedLeaving;

/**
 * Whether an upstream is leaving: a source reports it, or did so within `leavingHoldMs`. The hold time
 * covers sources that lag or alternate between answers.
 */
const isLeaving = (
	state: MembershipState,
	upstream: UpstreamStatus,
	nowMs: number,
): boolean =>
	isReportedLeaving(upstream) ||
	nowMs < upstream.lastLeavingMs + state.settings.leavingHoldMs;

/** Returns the host and port of an address, which may be a URL. */
const stripSchemeAndPath = (address: string): string =>
	address.replace(/^[a-z]+:\/\//u, '').replace(/\/.*$/u, '');

/** Whether the VM list contains the VM of an address, with or without a port. */
const isListed = (leavingVms: Set<string>, address: string): boolean => {
	const host = stripSchemeAndPath(address);
	return leavingVms.has(host) || leavingVms.has(host.replace(/:\d+$/u, ''));
};

const createStatus = (address: string): UpstreamStatus => ({
	address,
	labelledLeaving: false,
	healthLeaving: false,
	listedLeaving: false,
	lastLeavingMs: Number.NEGATIVE_INFINITY,
});

/** Updates one upstream and reports when it starts or stops leaving. */
const updateUpstream = (
	state: MembershipState,
	upstreamId: UpstreamId,
	nowMs: number,
	change: (upstream: UpstreamStatus) => void,
): MembershipAction[] => {
	const upstream = state.upstreams.get(upstreamId) ?? createStatus('');
	const wasLeaving = isLeaving(state, upstream, nowMs);
	if (isReportedLeaving(upstream)) {
		upstream.lastLeavingMs = nowMs;
	}

	change(upstream);
	if (isReportedLeaving(upstream)) {
		upstream.lastLeavingMs = nowMs;
	}

	state.upstreams.set(upstreamId, upstream);
	const isNowLeaving = isLeaving(state, upstream, nowMs);
	if (wasLeaving === isNowLeaving) {
		return [];
	}

	return [
		{type: isNowLeaving ? 'upstream-leaving' : 'upstream-back', upstreamId},
	];
};

/** Handles the list of registered upstreams; those that are no longer registered are removed. */
export const handleUpstreams = (
	state: MembershipState,
	event: EventOf<'upstreams'>,
	nowMs: number,
): MembershipAction[] => {
	const registered = new Set(event.upstreams.map(({upstreamId}) => upstreamId));
	for (const upstreamId of state.upstreams.keys()) {
		if (!registered.has(upstreamId)) {
			state.upstreams.delete(upstreamId);
		}
	}

	return event.upstreams.flatMap(({upstreamId, address, leaving}) =>
		updateUpstream(state, upstreamId, nowMs, (upstream) => {
			upstream.address = address;
			upstream.labelledLeaving = leaving;
			upstream.listedLeaving = isListed(state.leavingVms, address);
		}),
	);
};

/** Handles a VM list; a list that is older than the current one is ignored. */
export const handleVmList = (
	state: MembershipState,
	event: EventOf<'vm-list'>,
	nowMs: number,
): MembershipAction[] => {
	if (event.readAtMs < state.vmListReadAtMs) {
		return [];
	}

	state.vmListReadAtMs = event.readAtMs;
	state.leavingVms = new Set(
		event.vms
			.filter((vm) => vm.state === 'leaving')
			.map((vm) => stripSchemeAndPath(vm.address)),
	);
	return [...state.upstreams.keys()].flatMap((upstreamId) =>
		updateUpstream(state, upstreamId, nowMs, (upstream) => {
			upstream.listedLeaving = isListed(state.leavingVms, upstream.address);
		}),
	);
};

/** Handles the answer of an upstream to a health check. */
export const handleHealth = (
	state: MembershipState,
	event: EventOf<'health'>,
	nowMs: number,
): MembershipAction[] =>
	state.upstreams.has(event.upstreamId)
		? updateUpstream(state, event.upstreamId, nowMs, (upstream) => {
				upstream.healthLeaving = event.status === 'leaving';
			})
		: [];

/**
 * Whether an upstream is leaving and must receive no new work: the VM list, its health check or an
 * operator's label reports it, or one of them did so within `leavingHoldMs`.
 *
 * @example
 * ```ts
 * const usable = upstreams.filter(({name}) => !isUpstreamLeaving(state, name, nowMs));
 * ```
 */
export const isUpstreamLeaving = (
	state: MembershipState,
	upstreamId: UpstreamId,
	nowMs: number,
): boolean => {
	const upstream = state.upstreams.get(upstreamId);
	return upstream !== undefined && isLeaving(state, upstream, nowMs);
};
