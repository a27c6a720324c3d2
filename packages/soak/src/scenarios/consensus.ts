import type {GroupId} from '@marjoramcove/types';
import {Cluster} from '../consensus/cluster.ts';
import {CONSENSUS_FAULTS} from '../consensus/faults.ts';
import {Nemesis} from '../consensus/nemesis.ts';
import {OperationChecker} from '../consensus/operation-checker.ts';
import {RepairOperator} from '../consensus/repair-operator.ts';
import type {SimulatedDaemon} from '../consensus/simulated-daemon.ts';
import {RandomSource} from '../random-source.ts';
import type {RoundSummary, Scenario, ScenarioOptions} from '../scenario.ts';

const FAULT_PHASE_MS = 30_000;
/** Maximum virtual time from the last fault until all replicas agree. */
const CONVERGENCE_MS = 60_000;
const BURST_PROPOSALS = 300;

/** Issues random proposals and reads until the returned function is called. */
const startWorkload = (cluster: Cluster, checker: OperationChecker) => {
	const {random, time, groupIds} = cluster;
	let isRunning = true;
	const issueOperations = () => {
		const groupId = random.pick(groupIds);
		const leaders = cluster.findLeaders(groupId);
		if (leaders.length > 0) {
			const leader = random.pick(leaders);
			if (random.chance(0.3)) {
				void checker.read(leader, groupId);
			} else {
				const count = random.chance(0.005) ? BURST_PROPOSALS : 1;
				for (let proposal = 0; proposal < count; proposal++) {
					void checker.propose(leader, groupId, random.integer(0, 100));
				}
			}
		}

		if (isRunning) {
			time.schedule(random.uniform() * 40, issueOperations);
		}
	};

	issueOperations();
	return () => {
		isRunning = false;
	};
};

const isConverged = (cluster: Cluster, operator: RepairOperator) =>
	operator.isIdle &&
	cluster.groupIds.every((groupId) => {
		const leader = cluster.findLeader(groupId);
		const findGroupStatus = (daemon: typeof leader) =>
			daemon?.host?.status().find((group) => group.groupId === groupId);
		const status = findGroupStatus(leader);
		return (
			status !== undefined &&
			operator.isFullyReplicated(groupId) &&
			status.commitIndex === status.lastIndex &&
			status.replicas.every((replica) => {
				const daemon = cluster.daemons.find(
					({diskId}) => diskId === replica.diskId,
				);
				return findGroupStatus(daemon)?.appliedIndex === status.commitIndex;
			})
		);
	});

const describeState = (cluster: Cluster) =>
	cluster.daemons
		.map((daemon) => {
			const groups = daemon.host
				?.status()
				.map(
					(group) =>
						`${group.groupId} ${group.role} term ${group.term} commit ${group.commitIndex} last ${group.lastIndex} ready ${group.isReady} replicas ${group.replicas.map((replica) => `${replica.diskId}/${replica.role}/${replica.matchIndex ?? ''}`).join(' ')}`,
				);
			return `${daemon.id} (${daemon.diskId}): ${groups?.join('; ') ?? 'down'}`;
		})
		.join('\n');

const proposeAfterFaults = async (
	checker: OperationChecker,
	leader: SimulatedDaemon,
	groupId: GroupId,
	confirmedGroups: Set<GroupId>,
) => {
	if (await checker.propose(leader, groupId)) {
		confirmedGroups.add(groupId);
	}
};

const awaitConvergence = async (
	cluster: Cluster,
	operator: RepairOperator,
	checker: OperationChecker,
) => {
	const {time, events, groupIds} = cluster;
	const deadlineMs = time.nowMs() + CONVERGENCE_MS;
	const confirmedGroups = new Set<GroupId>();
	while (time.nowMs() < deadlineMs) {
		await time.runUntil(time.nowMs() + 200);
		events.throwFailure();
		for (const groupId of groupIds) {
			const leader = cluster.findLeader(groupId);
			if (leader && !confirmedGroups.has(groupId)) {
				void proposeAfterFaults(checker, leader, groupId, confirmedGroups);
			}
		}

		if (
			confirmedGroups.size === groupIds.length &&
			isConverged(cluster, operator)
		) {
			return;
		}
	}

	events.fail(
		`the replicas did not agree within ${CONVERGENCE_MS} ms after the last fault\n${describeState(cluster)}`,
	);
	events.throwFailure();
};

const checkFinalState = async (cluster: Cluster, checker: OperationChecker) => {
	for (const groupId of cluster.groupIds) {
		const status = cluster
			.findLeader(groupId)!
			.host!.status()
			.find((group) => group.groupId === groupId)!;
		const disks = new Set(status.replicas.map((replica) => replica.diskId));
		await checker.checkFinalState(
			groupId,
			cluster.daemons.filter(
				(daemon) => daemon.diskId && disks.has(daemon.diskId),
			),
		);
	}

	cluster.events.throwFailure();
};

const runRound = async ({
	seed,
	fault,
}: ScenarioOptions): Promise<RoundSummary> => {
	const random = new RandomSource(seed);
	const cluster = new Cluster(
		random,
		{voters: random.integer(3, 5), groups: random.integer(1, 2)},
		fault,
	);
	const {time, events} = cluster;
	const checker = new OperationChecker(events, cluster.groupIds);
	const operator = new RepairOperator(cluster);
	const nemesis = new Nemesis(cluster, operator);
	for (const daemon of cluster.daemons) {
		void daemon.start();
	}

	// The faults may start before the groups have formed.
	await time.runUntil(random.uniform() * 4000);
	const stopWorkload = startWorkload(cluster, checker);
	const hasFrequentFaults = random.chance(0.3);
	while (time.nowMs() < FAULT_PHASE_MS) {
		await time.runUntil(
			time.nowMs() + random.uniform() * (hasFrequentFaults ? 400 : 2500),
		);
		events.throwFailure();
		nemesis.injectFault();
	}

	nemesis.heal();
	stopWorkload();
	await awaitConvergence(cluster, operator, checker);
	// Reading the history takes virtual time, because file operations are delayed.
	await Promise.all([
		checkFinalState(cluster, checker),
		time.runUntil(time.nowMs() + 1000),
	]);
	return {...events.counts, ...cluster.network.counts};
};

/** Replicated groups under network, process, disk and clock faults. */
export const consensusScenario: Scenario = {
	name: 'consensus',
	faults: Object.keys(CONSENSUS_FAULTS),
	runRound,
};
