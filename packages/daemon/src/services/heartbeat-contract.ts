import type {
	changesSince,
	configurationDigest,
} from '@marjoramcove/configuration';
import type {MemberReport, membersSince} from '@marjoramcove/membership';
import type {UpstreamId} from '@marjoramcove/types';
import {z} from 'zod';
import type {UpstreamNotice} from './upstreams-service.ts';

const noticeSchema = z.object({
	upstreamId: z.string().transform((value) => value as UpstreamId),
	leaving: z.boolean(),
	unhealthy: z.boolean(),
});

/** Heartbeat of a daemon to the configuration leader. */
export const heartbeatSchema = z.object({
	sequence: z.int(),
	report: z.custom<MemberReport>(
		(value) => typeof value === 'object' && value !== null,
	),
	known: z.object({epoch: z.string(), version: z.number()}).optional(),
	notices: z.array(noticeSchema).default([]),
});

/** Answer of the configuration leader to a heartbeat. */
export type HeartbeatAnswer = {
	leaseMs: number;
	digest: ReturnType<typeof configurationDigest>;
	update?: ReturnType<typeof changesSince>;
	members: ReturnType<typeof membersSince>;
	/** Upstreams in trouble, from all dispatchers; absent when there are none. */
	notices?: UpstreamNotice[];
};
