import process from 'node:process';

/** Environment variable that selects the deliberate fault of a test run. */
export const FAULT_VARIABLE = 'MARJORAMCOVE_TEST_FAULT';

/** A fault that a test causes on purpose, to verify that its checks detect a violated invariant. */
export type DeliberateFault = {
	invariant: string;
	/** What the test does. */
	fault: string;
	file: string;
	/** Title of the test that must fail. */
	test: string;
};

/** All deliberate faults by name. */
export const deliberateFaults = {
	'lose-second-disk': {
		invariant: 'I1',
		fault: 'both the replaced and the second VM lose their disks',
		file: 'i1-durable-state',
		test: 'loses nothing when a second VM is lost right after a lost disk was replaced',
	},
	'resend-unknown-outcome': {
		invariant: 'I2',
		fault:
			'the caller resends a call with unknown outcome with a new request id',
		file: 'i2-at-most-once',
		test: 'reports may-have-run when the answer is lost: lose-answer',
	},
	'omit-turn-numbers': {
		invariant: 'I3',
		fault:
			'the caller sends concurrent calls in reverse order without turn numbers',
		file: 'i3-order-and-history',
		test: 'runs calls in the order of their turn numbers when sent through several daemons',
	},
	'resume-without-position': {
		invariant: 'I4',
		fault: 'the caller resumes a stream without the id of its last event',
		file: 'i4-whole-answers',
		test: 'returns the rest of an answer through another daemon after the entry daemon is killed',
	},
	'endless-lease': {
		invariant: 'I5',
		fault: 'the configuration lease outlives the partition of the test',
		file: 'i5-configuration',
		test: 'accepts no work on a daemon that is partitioned from the leader for longer than its lease',
	},
	'engine-ignores-max-tokens': {
		invariant: 'I6',
		fault: 'the engines generate more than max_tokens allows',
		file: 'i6-budget',
		test: 'refuses the call that would exceed the token budget',
	},
	'unchecked-fencing': {
		invariant: 'I7',
		fault: 'an engine that should check fencing numbers executes an old order',
		file: 'i7-fencing',
		test: 'replaces a suspended leader and ignores its orders when it resumes',
	},
	'lose-all-releases': {
		invariant: 'I8',
		fault: 'the engines drop every release',
		file: 'i8-engine-memory',
		test: 'releases the memory of an ended program',
	},
	'hide-leaving': {
		invariant: 'I9',
		fault: 'the leaving engine continues to report that it is ready',
		file: 'i9-leaving',
		test: 'gives a leaving engine no new work although the VM list still reports it as live',
	},
	'endless-operation-time': {
		invariant: 'I10',
		fault: 'the operation may take longer than any test waits',
		file: 'i10-limits',
		test: 'ends a hung tool call at its timeout with an accurate verdict, and the program continues',
	},
} as const satisfies Record<string, DeliberateFault>;

export type FaultName = keyof typeof deliberateFaults;

/** Whether the deliberate fault is selected for this run. */
export const isFaultInjected = (name: FaultName): boolean =>
	process.env[FAULT_VARIABLE] === name;
