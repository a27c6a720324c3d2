import process from 'node:process';

/** Environment variable that names the deliberate fault of a test run. */
export const FAULT_VARIABLE = 'MARJORAMCOVE_TEST_FAULT';

/** A fault that the test harness causes on purpose, to show that a check fails when it must. */
export type DeliberateFault = {
	invariant: string;
	/** What the harness does. */
	fault: string;
	file: string;
	/** Name of the test that must fail. */
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
		fault: 'the caller resends a call of unknown outcome with a new request id',
		file: 'i2-at-most-once',
		test: 'reports may-have-run when the answer is lost: lose-answer',
	},
	'omit-turn-numbers': {
		invariant: 'I3',
		fault:
			'the caller sends concurrent calls in reverse order without turn numbers',
		file: 'i3-order-and-history',
		test: 'runs calls with turn numbers in order, sent through several daemons',
	},
	'resume-without-position': {
		invariant: 'I4',
		fault: 'the caller resumes a stream without the id of its last event',
		file: 'i4-whole-answers',
		test: 'gives the rest of an answer at another daemon after the entry is killed',
	},
	'endless-lease': {
		invariant: 'I5',
		fault: 'the configuration lease outlives the partition of the test',
		file: 'i5-configuration',
		test: 'takes no work on a daemon that is cut off from the leader for longer than its lease',
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
		test: 'replaces a frozen leader and ignores it when it resumes',
	},
	'lose-all-releases': {
		invariant: 'I8',
		fault: 'the engines drop every release',
		file: 'i8-engine-memory',
		test: 'releases the memory of an ended program',
	},
	'hide-leaving': {
		invariant: 'I9',
		fault: 'the leaving engine goes on to report that it is ready',
		file: 'i9-leaving',
		test: 'gives a leaving engine no new work although the VM list still names it live',
	},
	'endless-operation-time': {
		invariant: 'I10',
		fault: 'the operation may take longer than any test waits',
		file: 'i10-limits',
		test: 'ends a hung tool by its time with an honest verdict, and the program goes on',
	},
} as const satisfies Record<string, DeliberateFault>;

export type FaultName = keyof typeof deliberateFaults;

/** Whether this run has the deliberate fault. */
export const isFaultInjected = (name: FaultName): boolean =>
	process.env[FAULT_VARIABLE] === name;
