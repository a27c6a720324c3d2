import {
	ADDRESS_TTL_MS,
	CONFIGURATION_LEASE_MS,
	DAEMON_HEARTBEAT_INTERVAL_MS,
	type DaemonId,
	LEAVING_BOUND_MS,
	type ZoneName,
} from '@marjoramcove/types';
import * as z from 'zod';

const daemonIdSchema = z
	.string()
	.regex(/^[a-z\d][a-z\d\-]{0,62}$/v)
	.transform((value) => value as DaemonId);
const zoneSchema = z
	.string()
	.min(1)
	.max(63)
	.transform((value) => value as ZoneName);
const portSchema = z.int().min(1).max(65_535);
const addressSchema = z.string().regex(/^[^\s\/]+:\d{1,5}$/v);
const durationSchema = z.int().min(1).max(86_400_000);
const countSchema = z.int().min(1).max(10_000_000);
const sizeSchema = z
	.int()
	.min(1024)
	.max(1024 * 1024 * 1024);

const peerSchema = z.strictObject({
	daemonId: daemonIdSchema,
	zone: zoneSchema,
	peerAddress: addressSchema,
	httpAddress: addressSchema,
	state: z.boolean().default(false),
});

const timingSchema = z.strictObject({
	heartbeatMs: durationSchema.default(DAEMON_HEARTBEAT_INTERVAL_MS),
	raftHeartbeatMs: durationSchema.default(100),
	electionTimeoutMinMs: durationSchema.default(1000),
	electionTimeoutMaxMs: durationSchema.default(2000),
	configurationLeaseMs: durationSchema.default(CONFIGURATION_LEASE_MS),
	addressTtlMs: durationSchema.default(ADDRESS_TTL_MS),
	drainTimeoutMs: durationSchema.default(60_000),
	streamSilenceMs: durationSchema.default(5000),
	leavingBoundMs: durationSchema.default(LEAVING_BOUND_MS),
	linkHeartbeatMs: durationSchema.default(1000),
	linkTimeoutMs: durationSchema.default(3000),
	requestTimeoutMs: durationSchema.default(10_000),
	modelCallTimeoutMs: durationSchema.default(120_000),
	toolCallTimeoutMs: durationSchema.default(30_000),
	healthCheckMs: durationSchema.default(1000),
	vmListPollMs: durationSchema.default(1000),
	memoryReconcileMs: durationSchema.default(10_000),
	orderLifetimeMs: durationSchema.default(5000),
	callerHeartbeatMs: durationSchema.default(5000),
	openIntentSweepMs: durationSchema.default(1000),
});

const limitsSchema = z.strictObject({
	requestSizeBytes: sizeSchema.default(4 * 1024 * 1024),
	answerSizeBytes: sizeSchema.default(4 * 1024 * 1024),
	historySizeBytes: sizeSchema.default(8 * 1024 * 1024),
	peerMessageSizeBytes: sizeSchema.default(16 * 1024 * 1024),
	queuedCallsPerProgram: countSchema.default(16),
	queuedCallsPerEngine: countSchema.default(256),
	queuedMessagesPerLink: countSchema.default(10_000),
	openConnections: countSchema.default(4096),
	programsPerShard: countSchema.default(200_000),
	defaultCompletionTokens: countSchema.default(1024),
	/** Minimum UTF-8 bytes per token of the tokenizers in use; prompt reservations divide the size by it. */
	bytesPerToken: z.number().min(1).max(16).default(4),
	/** Tokens of exported engine memory that a daemon keeps while programs pause; 0 disables the export. */
	exportedCacheTokens: z.int().min(0).max(1_000_000_000).default(0),
	snapshotEntries: countSchema.default(10_000),
	/** Retention of an ended program with no open holds or budget, including its request records and history. */
	endedProgramRetentionMs: durationSchema.default(600_000),
	/** Total memory of the replicated logs of all groups of a daemon. */
	logMemorySizeBytes: sizeSchema.default(8 * 1024 * 1024),
});

/** Budget of a program for which neither the caller nor a selector sets one. */
const defaultBudgetSchema = z.strictObject({
	tokens: countSchema.default(300_000),
	turns: countSchema.default(200),
	wallTimeMs: durationSchema.default(3_600_000),
});

const factorSchema = z.number().positive().max(1_000_000);

/** Constants of the scheduling policy. `PolicyTuning` of the scheduler documents them and their defaults. */
const tuningSchema = z.strictObject({
	prefillMsPerToken: factorSchema.optional(),
	decodeMsPerToken: factorSchema.optional(),
	stepMs: factorSchema.optional(),
	zoneDelayMs: factorSchema.optional(),
	sampledEngines: z.int().min(1).max(64).optional(),
	starvationMs: durationSchema.optional(),
	fairnessSlackMs: durationSchema.optional(),
	admissionWaitMs: durationSchema.optional(),
	overloadWaitMs: durationSchema.optional(),
	admissionCacheShare: factorSchema.optional(),
	transferMsPerToken: factorSchema.optional(),
	staleReportMs: durationSchema.optional(),
	runningCacheShare: z.number().positive().max(1).optional(),
	retentionCacheShare: z.number().positive().max(1).optional(),
});

/** Schema of the settings file of a daemon. */
export const settingsSchema = z.strictObject({
	daemonId: daemonIdSchema,
	zone: zoneSchema,
	listen: z.strictObject({
		host: z.string().min(1).default('127.0.0.1'),
		httpPort: portSchema,
		peerPort: portSchema,
	}),
	advertise: z
		.strictObject({
			httpAddress: addressSchema.optional(),
			peerAddress: addressSchema.optional(),
		})
		.prefault({}),
	roles: z.array(z.enum(['entry', 'state'])).min(1),
	dataFolder: z.string().min(1).optional(),
	cluster: z.strictObject({
		shardCount: z.int().min(1).max(1024).default(4),
		peers: z.array(peerSchema).min(1),
	}),
	vmList: z.strictObject({url: z.url()}).optional(),
	weightStore: z
		.strictObject({
			url: z.url(),
			loadsPerInterval: countSchema.default(2),
			intervalMs: durationSchema.default(1000),
		})
		.optional(),
	timing: timingSchema.prefault({}),
	limits: limitsSchema.prefault({}),
	defaultBudget: defaultBudgetSchema.prefault({}),
	policy: z
		.strictObject({
			latencyWeight: z.number().min(0).max(100).default(1),
			cacheWeight: z.number().min(0).max(100).default(1),
			tuning: tuningSchema.optional(),
		})
		.prefault({}),
	logs: z
		.strictObject({
			level: z
				.enum(['trace', 'debug', 'info', 'warn', 'error'])
				.default('info'),
			destination: z.string().min(1).default('stderr'),
		})
		.prefault({}),
});

/** Checked settings of a daemon, with every default filled in. */
export type Settings = z.infer<typeof settingsSchema>;
