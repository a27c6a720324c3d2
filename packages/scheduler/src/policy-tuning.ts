import type {PolicySettings, PolicyTuning} from './types.ts';

/** Defaults of {@link PolicyTuning}. */
export const DEFAULT_TUNING: PolicyTuning = {
	prefillMsPerToken: 0.06,
	decodeMsPerToken: 0.85,
	stepMs: 27,
	zoneDelayMs: 1,
	sampledEngines: 4,
	starvationMs: 30_000,
	fairnessSlackMs: 20_000,
	admissionWaitMs: 300,
	overloadWaitMs: 60_000,
	admissionCacheShare: 1,
	transferMsPerToken: 0.005,
	staleReportMs: 3000,
	runningCacheShare: 0.6,
	retentionCacheShare: 0.88,
};

/**
 * Returns the tuning of a policy with the defaults filled in.
 *
 * @example
 * ```ts
 * const {sampledEngines} = readTuning({latencyWeight: 1, cacheWeight: 1});
 * ```
 */
export const readTuning = (settings: PolicySettings): PolicyTuning =>
	settings.tuning ? {...DEFAULT_TUNING, ...settings.tuning} : DEFAULT_TUNING;
