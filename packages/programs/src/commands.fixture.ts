import {
	asId,
	type CallerId,
	type DaemonId,
	type IncarnationId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import type {Intent} from './commands.ts';
import type {CommandOf} from './step-context.ts';

/** Creates the intent of the first attempt, sent to engine `e1` by daemon `d1`. */
export const createIntent = (overrides: Partial<Intent> = {}): Intent => ({
	attempt: 1,
	upstreamId: asId<UpstreamId>('e1'),
	dispatcherId: asId<DaemonId>('d1'),
	dispatcherIncarnation: asId<IncarnationId>('i1'),
	...overrides,
});

/** Opens `p0-a` with 1,000 tokens, 10 turns and 60 s. */
export const openCommand = (
	overrides: Partial<CommandOf<'open-program'>>,
): CommandOf<'open-program'> => ({
	type: 'open-program',
	nowMs: 1000,
	programId: asId<ProgramId>('p0-a'),
	callerId: asId<CallerId>('hall-1'),
	labels: {agent: 'entry-coaching'},
	budget: {tokens: 1000, turns: 10, wallTimeMs: 60_000},
	...overrides,
});

/** Accepts request `r1` of `p0-a` with 100 reserved tokens. */
export const acceptCommand = (
	overrides: Partial<CommandOf<'accept-call'>>,
): CommandOf<'accept-call'> => ({
	type: 'accept-call',
	nowMs: 1000,
	programId: asId<ProgramId>('p0-a'),
	requestId: asId<RequestId>('r1'),
	bodyHash: 'b1',
	kind: 'model',
	idempotent: true,
	messages: [{role: 'user', content: 'Which class do I enter?'}],
	reservedTokens: 100,
	timeoutMs: 5000,
	intent: createIntent(),
	...overrides,
});

/** Settles request `r1` of `p0-a` with 40 used tokens. */
export const settleCommand = (
	overrides: Partial<CommandOf<'settle-call'>>,
): CommandOf<'settle-call'> => ({
	type: 'settle-call',
	nowMs: 1000,
	programId: asId<ProgramId>('p0-a'),
	requestId: asId<RequestId>('r1'),
	attempt: 1,
	outcome: {
		status: 'answered',
		verdict: 'ran',
		contentType: 'application/json',
	},
	answer: {role: 'assistant', content: 'Class B.'},
	usedTokens: 40,
	...overrides,
});
