const BLOCK_BYTES = 64 * 1024;
/** A larger command gets memory of its own, so that little of a block stays unused. */
const LARGEST_SHARED_BYTES = BLOCK_BYTES / 8;

let block = Buffer.alloc(0);
let usedBytes = 0;

/**
 * Copies a command into memory that only log entries share. Small buffers of Node.js share blocks of
 * 8 KiB with all others of the process; one entry that is kept would keep such a block whole. The
 * blocks are not part of any state.
 *
 * @example
 * ```ts
 * log.append([{...entry, command: copyCommand(received)}]);
 * ```
 */
export const copyCommand = (command: Uint8Array): Buffer => {
	if (command.length > LARGEST_SHARED_BYTES) {
		const own = Buffer.allocUnsafeSlow(command.length);
		own.set(command);
		return own;
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
