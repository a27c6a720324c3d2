import {
	asId,
	type DaemonId,
	type IncarnationId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	applyMembershipUpdate,
	createMembershipState,
	createMembershipView,
	liveDaemons,
	type MembershipEvent,
	type MembershipState,
	type MembershipView,
	membershipUpdateSince,
	stepMembership,
	toMember,
	isUpstreamLeaving,
} from './index.ts';

type Choice = {action: number; pick: number; random: number};
type Fault = 'accept-old-incarnation' | 'lose-delta' | 'ignore-vm-list';

const upstreamId = asId<UpstreamId>('engine-1');
const choices = fc.array(
	fc.record<Choice>({
		action: fc.nat(99),
		pick: fc.nat(999),
		random: fc.nat(99),
	}),
	{minLength: 100, maxLength: 300, size: 'max'},
);

const createHeartbeat = (
	daemon: number,
	incarnation: number,
	sequence: number,
): Extract<MembershipEvent, {type: 'heartbeat'}> => ({
	type: 'heartbeat',
	sequence,
	report: {
		daemonId: asId<DaemonId>(`d${daemon}`),
		incarnation: asId<IncarnationId>(`i${incarnation}`),
		zone: asId<ZoneName>(`zone-${daemon % 2}`),
		address: `127.0.0.1:81${daemon}`,
		phase: sequence % 4 === 3 ? 'draining' : 'ready',
		appliedRevision: sequence,
	},
});

/** Whether a view has exactly the live members. */
const isSameView = (state: MembershipState, view: MembershipView): boolean => {
	const live = [...state.members.values()].filter((record) => record.live);
	return (
		live.length === view.members.size &&
		live.every(
			({report}) =>
				JSON.stringify(view.members.get(report.daemonId)) ===
				JSON.stringify(toMember(report)),
		)
	);
};

/** Simulates daemons that restart and send delayed or duplicate heartbeats, and a view with deltas. */
const runModel = (sequence: Choice[], fault?: Fault): string[] => {
	const state = createMembershipState({epoch: 'e1', nowMs: 0});
	const view = createMembershipView();
	const problems = new Set<string>();
	const incarnations = [0, 0, 0, 0];
	const sent: MembershipEvent[] = [];
	let nowMs = 0;
	const step = (event: MembershipEvent) => stepMembership(state, event, nowMs);
	step({
		type: 'upstreams',
		upstreams: [{upstreamId, address: 'http://10.0.0.5:9001', leaving: false}],
	});
	for (const [index, {action, pick, random}] of sequence.entries()) {
		nowMs += random * 10;
		const daemon = pick % 4;
		if (action < 40) {
			incarnations[daemon]! += random < 10 ? 1 : 0;
			const event = createHeartbeat(daemon, incarnations[daemon]!, index + 1);
			sent.push(event);
			step(event);
		} else if (action < 70 && sent.length > 0) {
			const delayed = sent[pick % sent.length]!;
			if (fault === 'accept-old-incarnation') {
				for (const record of state.members.values()) {
					record.pastIncarnations = [];
					record.sequence = 0;
				}
			}

			step(delayed);
		} else if (action < 80) {
			step({type: 'tick'});
		} else if (action < 85 && fault !== 'ignore-vm-list') {
			step({
				type: 'vm-list',
				readAtMs: nowMs - random * 100,
				vms: [{address: '10.0.0.5', state: random < 50 ? 'leaving' : 'live'}],
			});
		} else {
			const update = membershipUpdateSince(
				state,
				random < 90 ? view : undefined,
			);
			applyMembershipUpdate(
				view,
				fault === 'lose-delta' ? {...update, changed: []} : update,
			);
			if (!isSameView(state, view)) {
				problems.add('view differs');
			}
		}

		for (const {daemonId, incarnation} of liveDaemons(state, nowMs)) {
			const newest = incarnations[Number(daemonId.slice(1))]!;
			if (incarnation !== `i${newest}`) {
				problems.add('old incarnation is live');
			}
		}
	}

	step({
		type: 'vm-list',
		readAtMs: fault === 'ignore-vm-list' ? -Infinity : nowMs,
		vms: [{address: '10.0.0.5', state: 'leaving'}],
	});
	if (fault === 'ignore-vm-list') {
		state.leavingVms.clear();
		state.upstreams.get(upstreamId)!.listedLeaving = false;
		state.upstreams.get(upstreamId)!.lastLeavingMs = -Infinity;
	}

	if (!isUpstreamLeaving(state, upstreamId, nowMs)) {
		problems.add('leaving upstream gets work');
	}

	return [...problems];
};

const runs = {seed: 20_261_204, numRuns: 200, endOnFailure: true};

describe('membership under delayed, duplicate and reordered heartbeats', () => {
	it('keeps views equal and never returns to an earlier incarnation (failure: calls go to a process that no longer exists, I9)', () => {
		fc.assert(
			fc.property(choices, (sequence) => {
				expect(runModel(sequence)).toEqual([]);
			}),
			runs,
		);
	});

	it.each<[Fault, string]>([
		['accept-old-incarnation', 'old incarnation is live'],
		['lose-delta', 'view differs'],
		['ignore-vm-list', 'leaving upstream gets work'],
	])(
		'detects the fault %s (failure: the check above cannot fail)',
		(fault, symptom) => {
			const found = fc.check(
				fc.property(
					choices,
					(sequence) => !runModel(sequence, fault).includes(symptom),
				),
				runs,
			);
			expect(String(found.errorInstance)).toContain('returning false');
		},
	);
});

describe('isUpstreamLeaving', () => {
	it.each<MembershipEvent>([
		{type: 'health', upstreamId, status: 'leaving'},
		{
			type: 'upstreams',
			upstreams: [{upstreamId, address: '10.0.0.5:9001', leaving: true}],
		},
	])(
		'is true when any single source reports it: $type (failure: work is sent to a leaving upstream)',
		(event) => {
			const state = createMembershipState({epoch: 'e1', nowMs: 0});
			const upstreams = [
				{upstreamId, address: 'http://10.0.0.5:9001', leaving: false},
			];
			stepMembership(state, {type: 'upstreams', upstreams}, 0);
			expect(isUpstreamLeaving(state, upstreamId, 0)).toBe(false);
			stepMembership(state, event, 1);
			expect(isUpstreamLeaving(state, upstreamId, 1)).toBe(true);
			stepMembership(state, {type: 'health', upstreamId, status: 'ready'}, 2);
			expect(isUpstreamLeaving(state, upstreamId, 2)).toBe(true);
		},
	);
});
