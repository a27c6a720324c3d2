/** Default interval between heartbeats of a daemon to the configuration leader. */
export const DAEMON_HEARTBEAT_INTERVAL_MS = 1000;

/** Time within which a configuration change is in force everywhere at the target size. */
export const CONFIGURATION_IN_FORCE_TARGET_MS = 15_000;

/** Default duration of a configuration lease. */
export const CONFIGURATION_LEASE_MS = 5000;

/** Time after which a leaving upstream receives no new work. */
export const LEAVING_BOUND_MS = 3000;

/** Time for which a caller may keep an answer with addresses. */
export const ADDRESS_TTL_MS = 10_000;

/** Largest relative difference between the rates of two clocks that the protocols allow for. */
export const MAX_CLOCK_DRIFT = 0.01;

/** Largest number of turns of a program at the target size. */
export const TARGET_TURNS_PER_PROGRAM = 200;

/** Largest history of a program at the target size. */
export const TARGET_HISTORY_TOKENS = 300_000;

/** Number of daemons at the target size. */
export const TARGET_DAEMONS = 420;

/** Number of model servers at the target size. */
export const TARGET_SERVERS = 1700;

/** Number of programs under way at the target size. */
export const TARGET_PROGRAMS = 140_000;

/** Number of callers at the target size. */
export const TARGET_CALLERS = 5000;

/** Number of models at the target size. */
export const TARGET_MODELS = 14;

/** Requests per second at the peak of the target size. */
export const TARGET_REQUESTS_PER_SECOND = 7700;

/** Tokens generated per second at the peak of the target size. */
export const TARGET_TOKENS_PER_SECOND = 1_700_000;

/** Limit of processor time that control may use on a daemon, as a share of one core. */
export const CONTROL_CORE_SHARE = 0.023;

/** Limit of memory that control may use on a daemon. */
export const CONTROL_MEMORY_BYTES = 64 * 1024 * 1024;

/** Limit of network traffic that control may use on a daemon, in bytes per second. */
export const CONTROL_BYTES_PER_SECOND = 17_000;

/** Largest number of VMs set aside for control at the target size. */
export const CONTROL_VMS = 18;
