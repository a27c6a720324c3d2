import type {SiteEngineModel} from './site-engine.ts';
import type {SiteProgramKind, SiteTraffic} from './site-workload.ts';

/** A site with its engines, its entry daemons and its traffic on a day of high load. */
export type SiteScenario = {
	name: string;
	engines: number;
	entries: number;
	zones: number;
	model: SiteEngineModel;
	traffic: Omit<SiteTraffic, 'seed'>;
};

const CHUNK_TOKENS = 2048;
const ATTENTION_MS_PER_MILLION_PAIRS = 0.0413;

/** Duration of the arrivals in one run. */
const DURATION_MS = 30_000;

const createBaramyeonModel = (
	slots: number,
	capacityTokens: number,
): SiteEngineModel => ({
	slots,
	capacityTokens,
	stepMs: 1.26,
	stepPerRequestMs: 0.0298,
	stepPerThousandContextTokensMs: 0.000_46,
	prefillTokensPerMs: 170,
	attentionMsPerMillionPairs: ATTENTION_MS_PER_MILLION_PAIRS,
	admissionMs: 5.3,
	chunkTokens: CHUNK_TOKENS,
});

const createPiatoModel = (
	slots: number,
	capacityTokens: number,
): SiteEngineModel => ({
	slots,
	capacityTokens,
	stepMs: 0.772,
	stepPerRequestMs: 0.0255,
	stepPerThousandContextTokensMs: 0.000_458,
	prefillTokensPerMs: 227,
	attentionMsPerMillionPairs: ATTENTION_MS_PER_MILLION_PAIRS,
	admissionMs: 3.2,
	chunkTokens: CHUNK_TOKENS,
});

const sharedTokens = {mean: 12_600, deviation: 0.3, maximum: 25_200};
const subAgents = {mean: 2, deviation: 0.3, maximum: 4};

const createBaramyeonKinds = (
	events: SiteProgramKind['events'],
): SiteProgramKind[] => {
	const common = {
		targetLatencyFactor: 1.7,
		targetLatencyExtraMs: 250,
		pauseMs: {mean: 60, deviation: 0.6, maximum: 240},
		events,
		sharedParts: 3,
		sharedTokens,
		subAgents,
		toolMs: {mean: 70, deviation: 1, maximum: 800},
		toolShare: 0.8,
	};
	return [
		{
			...common,
			name: 'coach-chat',
			share: 0.708,
			worth: 3,
			lateWorth: 1.5,
			roundTripMs: 46,
			turns: {mean: 3, deviation: 0.4, maximum: 6},
			promptTokens: {mean: 1680, deviation: 0.7, maximum: 8400},
			subAgentShare: 0.05,
		},
		{
			...common,
			name: 'rules-review',
			share: 0.292,
			worth: 10,
			lateWorth: 5,
			roundTripMs: 36,
			turns: {mean: 7, deviation: 0.4, maximum: 14},
			promptTokens: {mean: 840, deviation: 0.7, maximum: 4200},
			subAgentShare: 0.15,
		},
	];
};

const createPiatoKinds = (
	events: SiteProgramKind['events'],
	parameters: {
		targetLatencyFactors: [number, number];
		quoteTurns: number;
		quotePauseMs: number;
		warrantySubAgentShare: number;
	},
): SiteProgramKind[] => {
	const common = {
		targetLatencyExtraMs: 200,
		events,
		sharedParts: 8,
		sharedTokens,
		subAgents,
		toolMs: {mean: 40, deviation: 1, maximum: 400},
		toolShare: 0.8,
	};
	return [
		{
			...common,
			name: 'quote-turn',
			share: 0.745,
			worth: 3,
			lateWorth: 0.3,
			targetLatencyFactor: parameters.targetLatencyFactors[0],
			roundTripMs: 26,
			turns: {mean: parameters.quoteTurns, deviation: 0.4, maximum: 8},
			pauseMs: {
				mean: parameters.quotePauseMs,
				deviation: 0.6,
				maximum: 4 * parameters.quotePauseMs,
			},
			promptTokens: {mean: 1680, deviation: 0.7, maximum: 8400},
			subAgentShare: 0.05,
		},
		{
			...common,
			name: 'warranty-turn',
			share: 0.255,
			worth: 10,
			lateWorth: 1,
			targetLatencyFactor: parameters.targetLatencyFactors[1],
			roundTripMs: 24,
			turns: {mean: 9, deviation: 0.4, maximum: 18},
			pauseMs: {mean: 150, deviation: 0.6, maximum: 600},
			promptTokens: {mean: 840, deviation: 0.7, maximum: 4200},
			subAgentShare: parameters.warrantySubAgentShare,
		},
	];
};

const createBurst = (factor: number) => [{fromMs: 4000, forMs: 6000, factor}];

/** The four sites on a day of high load (slot `scale` of the site descriptions), scaled to the share that is simulated. */
export const SITE_SCENARIOS: readonly SiteScenario[] = [
	{
		name: 'site-baramyeon',
		engines: 13,
		entries: 8,
		zones: 3,
		model: createBaramyeonModel(12, 378_489),
		traffic: {
			kinds: createBaramyeonKinds({mean: 11.7, deviation: 1.4, maximum: 26.9}),
			programsPerS: 32.4,
			durationMs: DURATION_MS,
			bursts: createBurst(1.6),
			tokensPerEvent: 22,
		},
	},
	{
		name: 'site-piato',
		engines: 6,
		entries: 8,
		zones: 3,
		model: createPiatoModel(32, 1_028_987),
		traffic: {
			kinds: createPiatoKinds(
				{mean: 10.3, deviation: 1.4, maximum: 23.7},
				{
					targetLatencyFactors: [2.1, 2],
					quoteTurns: 3,
					quotePauseMs: 60,
					warrantySubAgentShare: 0.15,
				},
			),
			programsPerS: 32.5,
			durationMs: DURATION_MS,
			bursts: createBurst(1.5),
			tokensPerEvent: 25,
		},
	},
	{
		name: 'site-baramyeon-grown',
		engines: 34,
		entries: 72,
		zones: 3,
		model: createBaramyeonModel(16, 282_573),
		traffic: {
			kinds: createBaramyeonKinds({mean: 10.3, deviation: 1.4, maximum: 23.7}),
			programsPerS: 130,
			durationMs: DURATION_MS,
			bursts: createBurst(1.6),
			tokensPerEvent: 25,
		},
	},
	{
		name: 'site-piato-grown',
		engines: 31,
		entries: 50,
		zones: 4,
		model: createPiatoModel(8, 241_833),
		traffic: {
			kinds: createPiatoKinds(
				{mean: 5.58, deviation: 1.4, maximum: 12.9},
				{
					targetLatencyFactors: [1.6, 1.5],
					quoteTurns: 4,
					quotePauseMs: 150,
					warrantySubAgentShare: 0.25,
				},
			),
			programsPerS: 83.5,
			durationMs: DURATION_MS,
			bursts: createBurst(1.7),
			tokensPerEvent: 46,
		},
	},
];
