/** Default interval of a daemon's heartbeats to the configuration leader. */
export const DAEMON_HEARTBEAT_INTERVAL_MS = 1000;

/** Target for the time until a configuration change is applied on all daemons at the target size. */
export const CONFIGURATION_ROLLOUT_TARGET_MS = 15_000;

/** Default duration of a configuration lease. */
export const CONFIGURATION_LEASE_MS = 5000;

/** Time after which a leaving upstream must receive no new work. */
export const LEAVING_BOUND_MS = 3000;

/** Time for which a caller may cache resolved addresses. */
export const ADDRESS_TTL_MS = 10_000;

/** Maximum relative difference between the rates of two clocks that the protocols tolerate. */
export const MAX_CLOCK_DRIFT = 0.01;

/** Maximum number of turns of a program at the target size. */
export const TARGET_TURNS_PER_PROGRAM = 200;

/** Maximum history length of a program at the target size. */
export const TARGET_HISTORY_TOKENS = 300_000;

/** Number of daemons at the target size. */
export const TARGET_DAEMONS = 420;

/** Number of model servers at the target size. */
export const TARGET_SERVERS = 1700;

/** Number of concurrent programs at the target size. */
export const TARGET_PROGRAMS = 140_000;

/** Number of callers at the target size. */
export const TARGET_CALLERS = 5000;

/** Number of models at the target size. */
export const TARGET_MODELS = 14;

/** Peak number of requests per second at the target size. */
export const TARGET_REQUESTS_PER_SECOND = 7700;

/** Peak number of generated tokens per second at the target size. */
export const TARGET_TOKENS_PER_SECOND = 1_700_000;

/** Limit on the CPU time of the control plane on a daemon, as a share of one core. */
export const CONTROL_CORE_SHARE = 0.023;

/** Limit on the memory of the control plane on a daemon. */
export const CONTROL_MEMORY_BYTES = 64 * 1024 * 1024;

/** Limit on the network traffic of the control plane on a daemon, in bytes per second. */
export const CONTROL_BYTES_PER_SECOND = 17_000;

/** Maximum number of VMs dedicated to the control plane at the target size. */
export const CONTROL_VMS = 18;
