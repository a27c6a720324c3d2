import type {NewsPosition, PlacementNews} from '@marjoramcove/balancer';
import type {FleetMember} from '@marjoramcove/fleet';
import type {UpstreamId} from '@marjoramcove/types';
import * as z from 'zod';
import type {FleetTopics} from './fleet-view.ts';

const stamp = z.object({term: z.number(), sequence: z.number()});

const member = z.custom<FleetMember>(
	(value) =>
		typeof value === 'object' &&
		value !== null &&
		'daemonId' in value &&
		'incarnation' in value,
	'a report of a daemon',
);

/** A daemon reports itself, and what it heard, and asks for what is newer than its view. */
export const syncInput = z.object({
	report: member,
	children: z.array(z.object({report: member, ageMs: z.number()})),
	position: z.object({
		members: stamp.optional(),
		servers: stamp.optional(),
		documentVersion: z.number(),
		shardMapVersion: z.number(),
	}),
	/** Time for which the answer may be held when there is nothing newer. */
	waitMs: z.number(),
});

export type SyncInput = z.output<typeof syncInput>;

export type SyncOutput = {
	leaderId?: string;
	/** Age of the last confirmation by a quorum; absent when there was none. */
	confirmedAgeMs?: number;
	topics?: FleetTopics;
};

const bytes = z.instanceof(Uint8Array);

export const putDocumentInput = z.object({version: z.number(), bytes});

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
			text: bytes,
			retentionMs: z.number(),
		})
		.optional(),
});

export type SettleInput = z.output<typeof settleInput>;

export const chainInput = z.object({
	turnId: z.string(),
	/** The answer is wanted of the leader of this group, after a read barrier. */
	groupId: z.string().optional(),
});

export type ChainOutput =
	| {status: 'found'; text: Uint8Array; groupId: string}
	/** Not on this disk; other replicas may have it. */
	| {status: 'not-here'}
	/** The leader of the group is certain that the group does not have it. */
	| {status: 'not-in-group'};

const sharedPart = z.object({
	serverId: z.custom<UpstreamId>((value) => typeof value === 'string'),
	id: z.string(),
	tokens: z.number(),
});

/** What the daemons that the sender speaks for have under way, and which shared parts they sent. */
export const newsInput = z.object({
	from: z.string(),
	inFlight: z.record(z.string(), z.number()),
	shared: z.array(sharedPart),
	/** How far the sender has read the news of this relay. */
	position: z.object({ledgerId: z.string(), sequence: z.number()}).optional(),
});

/** News of all other daemons. */
export type NewsOutput = PlacementNews & {position: NewsPosition};

export const deliverInput = z.object({from: z.string(), batch: bytes});
