import type {
	SharedPartLogPosition,
	PlacementUpdate,
	ReportedRates,
	ReportedSpeeds,
	SharedPart,
} from '@marjoramcove/balancer';
import type {FleetMember} from '@marjoramcove/fleet';
import type {
	PackedCreditAnswer,
	PackedCreditMessage,
} from '@marjoramcove/quotas';
import type {UpstreamId} from '@marjoramcove/types';
import * as z from 'zod';
import type {TopicUpdate} from './fleet-view.ts';

const stampSchema = z.object({term: z.number(), sequence: z.number()});

const memberReportSchema = z.custom<FleetMember>(
	(value) =>
		typeof value === 'object' &&
		value !== null &&
		'daemonId' in value &&
		'incarnation' in value,
	'expected a status report of a daemon',
);

/** Reports the sender and the daemons that report to it, and requests topics newer than its view. */
export const syncInput = z.object({
	report: memberReportSchema,
	children: z.array(z.object({report: memberReportSchema, ageMs: z.number()})),
	position: z.object({
		members: stampSchema.optional(),
		servers: stampSchema.optional(),
		documentVersion: z.number(),
		shardMapVersion: z.number(),
	}),
	/** Longest time to hold the response while there is nothing newer (long poll). */
	waitMs: z.number(),
});

export type SyncInput = z.output<typeof syncInput>;

export type SyncOutput = {
	leaderId?: string;
	/** Age of the last quorum confirmation; absent if there was none, or if the clocks of the sender jumped since. */
	confirmedAgeMs?: number;
	/** Time for which the response was held; absent in responses of daemons of an earlier version. */
	heldMs?: number;
	topics?: TopicUpdate;
};

const bytesSchema = z.custom<Uint8Array>(
	(value) => value instanceof Uint8Array,
	'expected bytes',
);

export const putDocumentInput = z.object({
	version: z.number(),
	bytes: bytesSchema,
});

export const memberInput = z.object({memberName: z.string()});

export const reserveInput = z.object({
	groupId: z.string(),
	programId: z.string(),
	requestId: z.string(),
	budgetTokens: z.number(),
	maxTokens: z.number(),
	retentionMs: z.number(),
});

export type ReserveInput = z.output<typeof reserveInput>;

export const settleInput = z.object({
	groupId: z.string(),
	programId: z.string(),
	requestId: z.string(),
	usedTokens: z.number(),
	retentionMs: z.number(),
	last: z.object({serverId: z.string(), contextTokens: z.number()}).optional(),
	turn: z
		.object({
			previousId: z.string().optional(),
			text: bytesSchema,
			retentionMs: z.number(),
		})
		.optional(),
});

export type SettleInput = z.output<typeof settleInput>;

/** Size of the parts in which the text of a chain is passed between daemons. */
export const CHAIN_PAGE_BYTES = 512 * 1024;

export const chainInput = z.object({
	turnId: z.string(),
	/** If set, the receiver must lead this group and perform a read barrier before it reports `not-in-group`. */
	groupId: z.string().optional(),
	/** Part of the text to return. Absent in calls of daemons of an earlier version, which get all of it. */
	page: z
		.object({
			offset: z.int().nonnegative(),
			lengthBytes: z.int().positive().max(CHAIN_PAGE_BYTES),
		})
		.optional(),
});

export type ChainInput = z.output<typeof chainInput>;

export type ChainOutput =
	| {
			status: 'found';
			text: Uint8Array;
			groupId: string;
			/** Length of the whole text; absent in answers of daemons of an earlier version, which return all of it. */
			lengthBytes?: number;
	  }
	/** Not on this disk; other replicas may store it. */
	| {status: 'not-here'}
	/** The leader of the group has verified that the group does not store it. */
	| {status: 'not-in-group'};

/** Whether a value is a plain record whose values all satisfy a condition. */
const isRecordOf = (
	value: unknown,
	isValid: (item: unknown) => boolean,
): boolean =>
	typeof value === 'object' &&
	value !== null &&
	Object.values(value).every((item) => isValid(item));

const isNumber = (value: unknown): boolean =>
	typeof value === 'number' && !Number.isNaN(value);

const isSharedPart = (value: unknown): boolean => {
	const {serverId, id, tokens} = (value ?? {}) as Record<string, unknown>;
	return (
		typeof serverId === 'string' && typeof id === 'string' && isNumber(tokens)
	);
};

const isReportedRate = (value: unknown): boolean => {
	const {requestsPerSecond, ageMs} = (value ?? {}) as Record<string, unknown>;
	return (
		isNumber(ageMs) &&
		(requestsPerSecond === undefined || isNumber(requestsPerSecond))
	);
};

const isPosition = (value: unknown): boolean => {
	const {ledgerId, sequence} = (value ?? {}) as Record<string, unknown>;
	return typeof ledgerId === 'string' && isNumber(sequence);
};

const isRecord = (value: unknown): boolean =>
	typeof value === 'object' && value !== null;

/**
 * In-flight requests of the daemons that the sender reports for, the shared prompt parts they sent, and the
 * request rates that servers stated to them.
 */
export type LoadReportInput = {
	from: string;
	inFlight: Record<string, number>;
	shared: SharedPart[];
	/** Absent in reports of daemons of an earlier version. */
	rates?: ReportedRates;
	/** Ages of the announcements of leaving servers. Absent in reports of daemons of an earlier version. */
	leaving?: Record<string, number>;
	/**
	 * Servers that differ in speed from their service. Absent in reports of daemons of an earlier version. The
	 * values are checked where they are added, so that nonsense in them does not lose the other fields.
	 */
	speeds?: ReportedSpeeds;
	/** Position up to which the sender has read the reports of this relay. */
	position?: SharedPartLogPosition;
	/**
	 * Longest time to hold the response while no daemon has anything to report (long poll). Absent if it must not
	 * be held, as for daemons of an earlier version.
	 */
	waitMs?: number;
};

const isLoadReport = (value: unknown): boolean => {
	const report = (value ?? {}) as Record<string, unknown>;
	const {from, inFlight, shared, position, waitMs} = report;
	const {rates = {}, leaving = {}} = report;
	return (
		typeof from === 'string' &&
		isRecordOf(inFlight, isNumber) &&
		Array.isArray(shared) &&
		shared.every((part) => isSharedPart(part)) &&
		isRecordOf(rates, isReportedRate) &&
		isRecordOf(leaving, isNumber) &&
		(position === undefined || isPosition(position)) &&
		(waitMs === undefined || isNumber(waitMs))
	);
};

// Checked by hand: control daemons get hundreds of reports a second, and generic checks of records took 7 in
// 100 of their processor time.
export const loadReportInput = z
	.custom<LoadReportInput>(isLoadReport, 'expected a report of loads')
	.transform((report) =>
		report.speeds === undefined || isRecord(report.speeds)
			? report
			: {...report, speeds: {}},
	);

/** Load reports of all other daemons. */
export type LoadReportOutput = PlacementUpdate & {
	position: SharedPartLogPosition;
};

/** A daemon of the same deployment packs the fields, so that only the outer shape is checked per message. */
const packedFieldsSchema = z.custom<PackedCreditMessage['teams'][number]>(
	(value) => Array.isArray(value) && typeof value[0] === 'string',
);

/** Credit that an entry daemon asks for and gives back. */
export const borrowCreditInput = z.object({
	from: z.string(),
	seq: z.number(),
	epoch: z.string().optional(),
	teams: z.array(packedFieldsSchema),
}) satisfies z.ZodType<PackedCreditMessage>;

/** Without an answer, this daemon does not own the quotas now. */
export type BorrowCreditOutput = {answer?: PackedCreditAnswer};

/** Messages of replicated logs, several for each daemon and heartbeat; therefore checked by hand. */
export const replicationBatchInput = z.custom<{
	from: string;
	batch: Uint8Array;
}>((value) => {
	const {from, batch} = (value ?? {}) as Record<string, unknown>;
	return typeof from === 'string' && batch instanceof Uint8Array;
}, 'expected a batch of messages');
