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

/** Intent of an attempt on one of the engines. */
export const createIntent = (attempt: number, engine: number): Intent => ({
	attempt,
	upstreamId: asId<UpstreamId>(`e${engine}`),
	dispatcherId: asId<DaemonId>('d1'),
	dispatcherIncarnation: asId<IncarnationId>('i1'),
});

/** A call of a program; two of three are model calls, and most tool calls are non-idempotent. */
export const createAccept = ({
	nowMs,
	programId,
	requestId,
	pick,
	luck,
	nextTurn,
}: {
	nowMs: number;
	programId: ProgramId;
	requestId: RequestId;
	pick: number;
	luck: number;
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
		idempotent: isModel || luck < 30,
		messages: [{role: 'user', content: `${programId} asks ${requestId}`}],
		reservedTokens: isModel ? 1 + luck : 0,
		timeoutMs: 5000,
		intent: createIntent(1, pick % 3),
		...(luck > 80 && {expectedTurn: nextTurn}),
	};
};
