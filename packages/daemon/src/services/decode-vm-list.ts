import * as z from 'zod';

/** A VM as described by the platform's list. */
export type ListedVm = {address: string; state: 'live' | 'leaving'};

const listSchema = z.object({vms: z.array(z.unknown())});

const vmSchema = z.object({
	address: z.string().min(1).max(1024),
	state: z.enum(['live', 'leaving']),
});

/**
 * Decodes the list of VMs. Entries that describe no VM, which other writers may leave, are skipped.
 *
 * @throws ZodError when the list itself is invalid, so that no VM appears to have returned.
 * @example
 * ```ts
 * decodeVmList({vms: [{address: '10.0.0.9:80', state: 'leaving'}, null]});
 * // {vms: [{address: '10.0.0.9:80', state: 'leaving'}], skippedEntries: 1}
 * ```
 */
export const decodeVmList = (
	list: unknown,
): {vms: ListedVm[]; skippedEntries: number} => {
	const entries = listSchema.parse(list).vms;
	const vms = entries
		.map((entry) => vmSchema.safeParse(entry).data)
		.filter((vm) => vm !== undefined);
	return {vms, skippedEntries: entries.length - vms.length};
};
