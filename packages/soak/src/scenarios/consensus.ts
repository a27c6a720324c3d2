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
/** Bound of the time to agreement after the last fault, in virtual time. */
const CONVERGENCE_MS = 60_000;
const BURST_PROPOSALS = 300;

/** Proposals and reads of callers while faults happen. */
const startWorkload = (cluster: Cluster, checker: OperationChecker) => {
	const {random, time, groupIds} = cluster;
	let isRunning = true;
	const act = () => {
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
			time.schedule(random.uniform() * 40, act);
		}
	};

	act();
	return () => {
		isRunning = false;
	};
};

const isConverged = (cluster: Cluster, operator: RepairOperator) =>
	operator.isIdle &&
	cluster.groupIds.every((groupId) => {
		const leader = cluster.findLeader(groupId);
		const describe = (daemon: typeof leader) =>
			daemon?.host?.status().find((group) => group.groupId === groupId);
		const status = describe(leader);
		return (
			status !== undefined &&
			operator.isWhole(groupId) &&
			status.commitIndex === status.lastIndex &&
			status.replicas.every((replica) => {
				const daemon = cluster.daemons.find(
					({diskId}) => diskId === replica.diskId,
				);
				return describe(daemon)?.appliedIndex === status.commitIndex;
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

const proposeFinal = async (
	checker: OperationChecker,
	leader: SimulatedDaemon,
	groupId: GroupId,
	isFinal: Set<GroupId>,
) => {
	if (await checker.propose(leader, groupId)) {
		isFinal.add(groupId);
	}
};

const awaitConvergence = async (
	cluster: Cluster,
	operator: RepairOperator,
	checker: OperationChecker,
) => {
	const {time, events, groupIds} = cluster;
	const untilMs = time.nowMs() + CONVERGENCE_MS;
	const isFinal = new Set<GroupId>();
	while (time.nowMs() < untilMs) {
		await time.runUntil(time.nowMs() + 200);
		events.throwFailure();
		for (const groupId of groupIds) {
			const leader = cluster.findLeader(groupId);
			if (leader && !isFinal.has(groupId)) {
				void proposeFinal(checker, leader, groupId, isFinal);
			}
		}

		if (isFinal.size === groupIds.length && isConverged(cluster, operator)) {
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

	// Faults may begin before the groups are formed.
	await time.runUntil(random.uniform() * 4000);
	const stopWorkload = startWorkload(cluster, checker);
	const isQuick = random.chance(0.3);
	while (time.nowMs() < FAULT_PHASE_MS) {
		await time.runUntil(
			time.nowMs() + random.uniform() * (isQuick ? 400 : 2500),
		);
		events.throwFailure();
		nemesis.act();
	}

	nemesis.heal();
	stopWorkload();
	await awaitConvergence(cluster, operator, checker);
	// The history is read with file operations, whose delays need time to pass.
	await Promise.all([
		checkFinalState(cluster, checker),
		time.runUntil(time.nowMs() + 1000),
	]);
	return {...events.counts, ...cluster.network.counts};
};

/** Replicas of several groups under faults of network, processes, disks and clocks. */
export const consensusScenario: Scenario = {
	name: 'consensus',
	faults: Object.keys(CONSENSUS_FAULTS),
	runRound,
};
