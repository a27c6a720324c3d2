import type {Intent} from '@marjoramcove/programs';
import {
	asId,
	type DaemonId,
	type IncarnationId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import type {CommandOf} from './program-oracle.ts';

/** Creates the intent of an attempt on one of the engines. */
export const createIntent = (attempt: number, engine: number): Intent => ({
	attempt,
	upstreamId: asId<UpstreamId>(`e${engine}`),
	dispatcherId: asId<DaemonId>('d1'),
	dispatcherIncarnation: asId<IncarnationId>('i1'),
});

/**
 * Creates a call of a program; two thirds are model calls, and most tool calls are non-idempotent.
 */
export const createAccept = ({
	nowMs,
	programId,
	requestId,
	pick,
	randomPercent,
	nextTurn,
}: {
	nowMs: number;
	programId: ProgramId;
	requestId: RequestId;
	pick: number;
	randomPercent: number;
	nextTurn?: number;
}): CommandOf<'accept-call'> => {
	const isModel = pick % 3 > 0;
	return {
		type: 'accept-call',
		nowMs,
		programId,
		requestId,
		bodyHash: requestId,
		kind: isModel ? 'model' : 'tool',
		idempotent: isModel || randomPercent < 30,
		messages: [{role: 'user', content: `${programId} asks ${requestId}`}],
		reservedTokens: isModel ? 1 + randomPercent : 0,
		timeoutMs: 5000,
		intent: createIntent(1, pick % 3),
		...(randomPercent > 80 && {expectedTurn: nextTurn}),
	};
};
