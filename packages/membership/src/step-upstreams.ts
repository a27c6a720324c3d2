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

const isSaidLeaving = (upstream: UpstreamStatus): boolean =>
	upstream.labelledLeaving || upstream.healthLeaving || upstream.listedLeaving;

/**
 * Whether an upstream is leaving: a source says so, or one did so a short time ago. The hold covers
 * sources that lag or alternate between answers.
 */
const isLeaving = (
	state: MembershipState,
	upstream: UpstreamStatus,
	nowMs: number,
): boolean =>
	isSaidLeaving(upstream) ||
	nowMs < upstream.lastLeavingMs + state.settings.leavingHoldMs;

/** Host and port of an address, which may be a URL. */
const hostOf = (address: string): string =>
	address.replace(/^[a-z]+:\/\//u, '').replace(/\/.*$/u, '');

/** Whether the VM list names the VM of an address, with or without a port. */
const isListed = (leavingVms: Set<string>, address: string): boolean => {
	const host = hostOf(address);
	return leavingVms.has(host) || leavingVms.has(host.replace(/:\d+$/u, ''));
};

const createStatus = (address: string): UpstreamStatus => ({
	address,
	labelledLeaving: false,
	healthLeaving: false,
	listedLeaving: false,
	lastLeavingMs: Number.NEGATIVE_INFINITY,
});

/** Changes one upstream and reports when it begins or stops leaving. */
const changeUpstream = (
	state: MembershipState,
	upstreamId: UpstreamId,
	nowMs: number,
	change: (upstream: UpstreamStatus) => void,
): MembershipAction[] => {
	const upstream = state.upstreams.get(upstreamId) ?? createStatus('');
	const before = isLeaving(state, upstream, nowMs);
	if (isSaidLeaving(upstream)) {
		upstream.lastLeavingMs = nowMs;
	}

	change(upstream);
	if (isSaidLeaving(upstream)) {
		upstream.lastLeavingMs = nowMs;
	}

	state.upstreams.set(upstreamId, upstream);
	const after = isLeaving(state, upstream, nowMs);
	if (before === after) {
		return [];
	}

	return [{type: after ? 'upstream-leaving' : 'upstream-back', upstreamId}];
};

/** Takes the registered upstreams; those that are not registered any more are forgotten. */
export const takeUpstreams = (
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
		changeUpstream(state, upstreamId, nowMs, (upstream) => {
			upstream.address = address;
			upstream.labelledLeaving = leaving;
			upstream.listedLeaving = isListed(state.leavingVms, address);
		}),
	);
};

/** Takes a VM list, unless a newer one is in use. */
export const takeVmList = (
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
			.map((vm) => hostOf(vm.address)),
	);
	return [...state.upstreams.keys()].flatMap((upstreamId) =>
		changeUpstream(state, upstreamId, nowMs, (upstream) => {
			upstream.listedLeaving = isListed(state.leavingVms, upstream.address);
		}),
	);
};

/** Takes the health answer of an upstream. */
export const takeHealth = (
	state: MembershipState,
	event: EventOf<'health'>,
	nowMs: number,
): MembershipAction[] =>
	state.upstreams.has(event.upstreamId)
		? changeUpstream(state, event.upstreamId, nowMs, (upstream) => {
				upstream.healthLeaving = event.status === 'leaving';
			})
		: [];

/**
 * Whether an upstream is leaving and must get no new work: the VM list, its health answer or an
 * operator's label says so, or one of them did so a short time ago.
 *
 * @example
 * ```ts
 * const usable = upstreams.filter(({name}) => !upstreamLeaving(state, name, nowMs));
 * ```
 */
export const upstreamLeaving = (
	state: MembershipState,
	upstreamId: UpstreamId,
	nowMs: number,
): boolean => {
	const upstream = state.upstreams.get(upstreamId);
	return upstream !== undefined && isLeaving(state, upstream, nowMs);
};
