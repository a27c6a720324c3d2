import type {ProgramDescription} from '@marjoramcove/programs';
import {admitCall, type FleetLoad} from '@marjoramcove/scheduler';
import type {CallerId} from '@marjoramcove/types';
import {refusal} from '../daemon-context.ts';
import type {OwnerCore} from './owner-core.ts';
import type {OpenCallLoads} from './open-call-loads.ts';
import type {Route} from './route-call.ts';

/** Engine time per outstanding token that admission assumes, mostly prompt tokens. */
const workMsPerToken = 0.1;
/** Cache size of an engine that has not reported one. */
const unknownCacheTokens = 1_000_000;

/** Load of the chosen engine. It is the least loaded of a sample, so it stands for the fleet. */
const describeLoad = (
	core: OwnerCore,
	loads: OpenCallLoads,
	{upstream}: Route,
): FleetLoad => {
	const load = core.upstreams.load(upstream.name);
	const own = loads.own(upstream.name);
	const calls = Math.max(own.calls, load.running + load.waiting);
	const {slots} = upstream.spec;
	return {
		engines: 1,
		slots,
		inFlight: Math.min(calls, slots),
		queued: Math.max(0, calls - slots),
		outstandingWorkMs:
			(own.prefillTokens + own.completionTokens) * workMsPerToken,
		cacheUsedTokens: load.kvTokens,
		cacheCapacityTokens: load.kvCapacityTokens || unknownCacheTokens,
		// Programs are not counted per caller; fairness between callers is left to the queues.
		callerPrograms: 0,
		programs: 0,
		activeCallers: 1,
	};
};

/**
 * Refuses a model call under overload, new programs before running ones.
 *
 * @throws RefusedError `overloaded` or `deadline-unreachable` with `retryAfterMs`.
 */
export const admitModelCall = (
	core: OwnerCore,
	loads: OpenCallLoads,
	program: ProgramDescription,
	route: Route,
): void => {
	const decision = admitCall(
		describeLoad(core, loads, route),
		{
			programId: program.programId,
			callerId: program.callerId as CallerId,
			isNewProgram: program.nextTurn === 1,
			deadlineMs: program.deadlineMs,
			priority:
				core.configuration.view.selectorsFor(program.labels)[0]?.spec
					.priority ?? 0,
		},
		core.commandTimeMs(program.programId),
		core.context.settings.policy,
	);
	if (!decision.admitted) {
		throw refusal(
			decision.reason,
			'The engines are overloaded.',
			`Retry after ${decision.retryAfterMs} ms.`,
			{retryAfterMs: decision.retryAfterMs},
		);
	}
};
