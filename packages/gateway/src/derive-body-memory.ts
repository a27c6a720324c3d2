import type {DaemonResources} from './gateway-settings.ts';

/**
 * Share of the VM's memory that request bodies may use. The rest holds the runtime, the responses and the buffers
 * that the runtime has not freed yet.
 */
const BODY_MEMORY_SHARE = 0.15;

/** Memory for request bodies if the memory of the VM is not known. */
const DEFAULT_BODY_MEMORY_BYTES = 32 * 1024 * 1024;

/**
 * Derives how much memory the request bodies of an entry daemon may use together.
 *
 * @example
 * ```ts
 * deriveBodyMemoryBytes({memoryBytes: 200_000_000}); // 30_000_000
 * ```
 */
export const deriveBodyMemoryBytes = (
	resources: Pick<DaemonResources, 'memoryBytes'> | undefined,
): number =>
	resources
		? Math.floor(resources.memoryBytes * BODY_MEMORY_SHARE)
		: DEFAULT_BODY_MEMORY_BYTES;
