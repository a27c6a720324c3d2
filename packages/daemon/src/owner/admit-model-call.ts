import type {ProgramDescription} from '@marjoramcove/programs';
import {
	admitCall,
	type EngineView,
	estimateWorkMs,
	type FleetLoad,
	isEligible,
	type PolicySettings,
	readTuning,
} from '@marjoramcove/scheduler';
import type {CallerId} from '@marjoramcove/types';
import {createRefusedError} from '../daemon-context.ts';
import type {ProgramCounts} from './caller-programs.ts';
import type {OwnerCore} from './owner-core.ts';

/** Sums the load of the eligible engines in a random sample, which stands for the fleet. */
export const describeFleetLoad = (
	views: readonly EngineView[],
	counts: ProgramCounts,
	policy: PolicySettings,
): FleetLoad => {
	const load: FleetLoad = {
		engines: 0,
		slots: 0,
		inFlight: 0,
		queued: 0,
		outstandingWorkMs: 0,
		cacheUsedTokens: 0,
		cacheCapacityTokens: 0,
		...counts,
	};
	for (const view of views) {
		if (isEligible(view)) {
			const completionTokens = view.outstandingCompletionTokens ?? 0;
			const workMs = estimateWorkMs(
				{
					completionTokens,
					prefillTokens: view.outstandingTokens - completionTokens,
				},
				readTuning(policy),
			);
			load.engines++;
			load.slots += view.slots;
			load.inFlight += view.inFlight;
			load.queued += view.queued;
			load.outstandingWorkMs += workMs / view.relativeSpeed;
			load.cacheUsedTokens += view.cacheUsedTokens ?? 0;
			load.cacheCapacityTokens += view.cacheCapacityTokens;
		}
	}

	return load;
};

/**
 * Refuses a model call under overload; new programs are refused before running ones.
 *
 * @throws RefusedError `overloaded` or `deadline-unreachable` with `retryAfterMs`.
 */
export const admitModelCall = (
	core: OwnerCore,
	program: ProgramDescription,
	views: readonly EngineView[],
): void => {
	const {policy} = core.context.settings;
	const callerId = program.callerId as CallerId;
	const decision = admitCall(
		describeFleetLoad(views, core.callers.countOthers(callerId), policy),
		{
			programId: program.programId,
			callerId,
			isNewProgram: program.nextTurn === 1,
			deadlineMs: program.deadlineMs,
			priority:
				core.configuration.view.selectorsFor(program.labels)[0]?.spec
					.priority ?? 0,
		},
		core.commandTimeMs(program.programId),
		policy,
	);
	if (!decision.admitted) {
		throw createRefusedError(
			decision.reason,
			'The engines are overloaded.',
			`Retry after ${decision.retryAfterMs} ms.`,
			{retryAfterMs: decision.retryAfterMs},
		);
	}
};
