import type {ConfigurationUpdate} from '@marjoramcove/configuration';
import type {
	MemberReport,
	MembershipUpdate,
	RosterSummary,
} from '@marjoramcove/membership';
import type {DaemonId, IncarnationId, UpstreamId} from '@marjoramcove/types';
import * as z from 'zod';
import type {UpstreamNotice} from './upstreams-service.ts';

const noticeSchema = z.object({
	upstreamId: z.string().transform((value) => value as UpstreamId),
	leaving: z.boolean(),
	unhealthy: z.boolean(),
});

const knownSchema = z
	.object({epoch: z.string(), version: z.number()})
	.optional();

const isObject = (value: unknown) =>
	typeof value === 'object' && value !== null;

/** Heartbeat of a daemon to its registrar. */
export const heartbeatSchema = z.object({
	sequence: z.int(),
	report: z.custom<MemberReport>((value) => isObject(value)),
	known: knownSchema,
	notices: z.array(noticeSchema).default([]),
});

/** Answer of a registrar to a heartbeat. */
export type HeartbeatAnswer = {
	/** Measured from the time at which the daemon sent the heartbeat. */
	leaseMs: number;
	digest: ConfigurationUpdate['digest'];
	update?: ConfigurationUpdate;
	members: MembershipUpdate;
	/** Leaving or unhealthy upstreams, reported by all dispatchers; absent when there are none. */
	notices?: UpstreamNotice[];
};

/** Request of a registrar to the leader to confirm the configuration. */
export const confirmSchema = z.object({
	registrarId: z.string().transform((value) => value as DaemonId),
	incarnation: z.string().transform((value) => value as IncarnationId),
	/** Revision of the confirmation that the registrar uses when it sends the request. */
	confirmedRevision: z.int(),
	summary: z.custom<RosterSummary>((value) => isObject(value)),
	known: knownSchema,
	/** Whether the leader should start its quorum round immediately. */
	isUrgent: z.boolean(),
});

export type ConfirmRequest = z.input<typeof confirmSchema>;

/** Answer of the leader; it confirms nothing when the registrar has to send a full summary first. */
export type ConfirmAnswer =
	| {needsFullSummary: true}
	| {
			needsFullSummary: false;
			/** Measured from the time at which the registrar sent the request. */
			leaseMs: number;
			digest: ConfigurationUpdate['digest'];
			/** Absent while a new leader collects the members. */
			members?: MembershipUpdate;
			notices: UpstreamNotice[];
	  };

/** Timeout of a single heartbeat or confirmation request. */
export const attemptTimeoutOf = (heartbeatMs: number): number =>
	Math.max(500, heartbeatMs);

/** Time without a heartbeat after which a registrar considers a daemon lost. */
export const memberTimeoutOf = (heartbeatMs: number): number =>
	Math.max(1500, 4 * heartbeatMs);
