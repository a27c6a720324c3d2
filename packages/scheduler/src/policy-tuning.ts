import type {PolicySettings, PolicyTuning} from './types.ts';

/** Defaults of {@link PolicyTuning}. */
export const DEFAULT_TUNING: PolicyTuning = {
	prefillMsPerToken: 0.05,
	decodeMsPerToken: 1.4,
	stepMs: 22,
	zoneDelayMs: 1,
	sampledEngines: 4,
	starvationMs: 30_000,
	fairnessSlackMs: 20_000,
	admissionWaitMs: 4000,
	overloadWaitMs: 60_000,
	admissionCacheShare: 1.5,
	transferMsPerToken: 0.005,
	retentionCacheShare: 0.8,
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
