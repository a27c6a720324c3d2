const BLOCK_BYTES = 64 * 1024;
/** Larger commands get a separate allocation, which limits the unused space at the end of a block. */
const MAX_POOLED_COMMAND_BYTES = BLOCK_BYTES / 8;

let block = Buffer.alloc(0);
let usedBytes = 0;

/**
 * Copies a command into a memory pool that only log entries use. Node.js allocates small buffers from
 * 8 KiB blocks that are shared by the whole process, so one retained entry would keep an entire block
 * alive. The pool is not part of the replicated state.
 *
 * @example
 * ```ts
 * log.append([{...entry, command: copyCommand(received)}]);
 * ```
 */
export const copyCommand = (command: Uint8Array): Buffer => {
	if (command.length > MAX_POOLED_COMMAND_BYTES) {
		const separate = Buffer.allocUnsafeSlow(command.length);
		separate.set(command);
		return separate;
	}

	if (usedBytes + command.length > block.length) {
		block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
		usedBytes = 0;
	}

	const copy = block.subarray(usedBytes, usedBytes + command.length);
	copy.set(command);
	usedBytes += command.length;
	return copy;
};
