/** Distribution of one kind of pause after a turn. */
export type PauseKind = {probability: number; meanMs: number};

/** Distributions from which the programs of one agent are drawn. */
export type Agent = {
	name: string;
	/** Share of the programs that belong to this agent. */
	share: number;
	turns: [min: number, max: number];
	firstPromptTokens: [min: number, max: number];
	/** Medians of log-normal distributions. */
	newPromptTokens: number;
	completionTokens: number;
	/** Tool calls and think time of the caller; the kind is announced at the start of the pause. */
	pauses: PauseKind[];
	/** Probability that a turn starts 2 or 3 sub-agents of 2 to 4 turns and waits for them. */
	subAgentProbability: number;
	/** Median time from the arrival of a program to its deadline. */
	medianDeadlineMs: number;
	/** Usual latency of a whole program, as operators configure it. */
	expectedProgramMs: number;
};

/** Agents of Baramyeon: an entry-coaching assistant and a rules-review agent. */
export const BARAMYEON_AGENTS: Agent[] = [
	{
		name: 'entry-coaching',
		share: 0.75,
		turns: [5, 12],
		firstPromptTokens: [2000, 4000],
		newPromptTokens: 300,
		completionTokens: 120,
		pauses: [
			{probability: 0.4, meanMs: 4000},
			{probability: 0.6, meanMs: 300},
		],
		subAgentProbability: 0,
		medianDeadlineMs: 150_000,
		expectedProgramMs: 25_000,
	},
	{
		name: 'rules-review',
		share: 0.25,
		turns: [10, 35],
		firstPromptTokens: [6000, 10_000],
		newPromptTokens: 900,
		completionTokens: 160,
		pauses: [{probability: 1, meanMs: 500}],
		subAgentProbability: 0.08,
		medianDeadlineMs: 300_000,
		expectedProgramMs: 50_000,
	},
];

/** Agents of Piatothiki: a quoting agent and a warranty agent, with long pauses. */
export const PIATOTHIKI_AGENTS: Agent[] = [
	{
		name: 'quoting',
		share: 0.6,
		turns: [10, 30],
		firstPromptTokens: [3000, 6000],
		newPromptTokens: 600,
		completionTokens: 120,
		pauses: [
			{probability: 0.5, meanMs: 20_000},
			{probability: 0.5, meanMs: 400},
		],
		subAgentProbability: 0,
		medianDeadlineMs: 600_000,
		expectedProgramMs: 200_000,
	},
	{
		name: 'warranty',
		share: 0.4,
		turns: [15, 40],
		firstPromptTokens: [5000, 10_000],
		newPromptTokens: 900,
		completionTokens: 150,
		pauses: [
			{probability: 0.4, meanMs: 30_000},
			{probability: 0.6, meanMs: 500},
		],
		subAgentProbability: 0.03,
		medianDeadlineMs: 900_000,
		expectedProgramMs: 300_000,
	},
];
