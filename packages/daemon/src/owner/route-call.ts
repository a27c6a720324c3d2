import type {UpstreamResource} from '@marjoramcove/configuration';
import type {ProgramDescription} from '@marjoramcove/programs';
import {
	chooseEngine,
	type EngineDirectory,
	type EngineView,
	isEligible,
	sampleViews,
} from '@marjoramcove/scheduler';
import type {
	DaemonId,
	IncarnationId,
	UpstreamId,
	ZoneName,
} from '@marjoramcove/types';
import {assumedCompletionTokens, type Target} from '../call-contracts.ts';
import {createRefusedError} from '../daemon-context.ts';
import {engineOfHold} from './copy-holder.ts';
import {estimateCachedTokens, newestHold} from './engine-memory.ts';
import {findDispatcher} from './find-dispatcher.ts';
import {estimateEngineWork} from './estimate-engine-work.ts';
import type {OpenCallLoads} from './open-call-loads.ts';
import type {OwnerCore} from './owner-core.ts';

/** The upstream and the dispatcher chosen for a call. */
export type Route = {
	upstream: UpstreamResource;
	dispatcherId: DaemonId;
	dispatcherIncarnation: IncarnationId;
	cachedTokens: number;
	/** Upstreams that were considered. */
	views: EngineView[];
};

export type RouteRequest = {
	program: ProgramDescription;
	target: Target;
	zone: ZoneName;
	promptTokens: number;
	completionTokens: number;
	/** Upstreams at which this call just failed; used again only when no other is eligible. */
	avoid?: ReadonlySet<UpstreamId>;
};

const describeTarget = (target: Target): string =>
	'model' in target
		? `model ${target.model}`
		: `${target.service}/${target.operation}`;

const findPreviousEngine = (
	program: ProgramDescription,
): UpstreamId | undefined => {
	const hold = newestHold(program);
	return hold && engineOfHold(hold.upstreamId);
};

const createEngineView = (
	core: OwnerCore,
	loads: OpenCallLoads,
	{program, target, promptTokens, completionTokens}: RouteRequest,
	upstream: UpstreamResource,
): EngineView => {
	const {name, spec} = upstream;
	const load = core.upstreams.load(name);
	const work = estimateEngineWork(core, loads, name, {
		prefillTokens: promptTokens,
		completionTokens: Math.min(assumedCompletionTokens, completionTokens),
	});
	const isPrevious = findPreviousEngine(program) === name;
	return {
		upstreamId: name,
		zone: spec.zone,
		slots: spec.slots,
		inFlight: Math.min(work.calls, spec.slots),
		queued: Math.max(0, work.calls - spec.slots),
		outstandingTokens: work.prefillTokens + work.completionTokens,
		outstandingCompletionTokens: work.completionTokens,
		cachedTokens: isPrevious
			? Math.min(promptTokens, estimateCachedTokens(program))
			: 0,
		cacheCapacityTokens: load.kvCapacityTokens || 1_000_000,
		cacheUsedTokens: load.kvTokens,
		relativeSpeed: 'model' in target ? core.speeds.read(target.model, name) : 1,
		leaving: core.upstreams.isLeaving(name),
		healthy: core.upstreams.isHealthy(name),
	};
};

/**
 * Chooses the upstream and the dispatcher for a call.
 *
 * @throws RefusedError `no-selector-matches`, `no-upstream` or `no-dispatcher`.
 */
export const routeCall = (
	core: OwnerCore,
	loads: OpenCallLoads,
	request: RouteRequest,
): Route => {
	const {program, target} = request;
	const {view} = core.configuration;
	const allowed = view.upstreamsFor(program.labels, target, {
		includeLeaving: true,
	});
	if (allowed.length === 0) {
		throw createRefusedError(
			'no-selector-matches',
			`No selector lets the program use an upstream for ${describeTarget(target)}.`,
			'Ask the operator for a selector or an upstream for this target.',
		);
	}

	const directory = createDirectory(core, loads, request, allowed);
	const {chosen, views} = chooseUpstream(core, request, directory);
	if (!chosen) {
		throw createRefusedError(
			'no-upstream',
			`All upstreams for ${describeTarget(target)} are leaving or unreachable.`,
			'Retry later.',
		);
	}

	return {
		...addDispatcher(core, core.upstreams.lookUp(chosen.upstreamId)!),
		cachedTokens: chosen.cachedTokens,
		views,
	};
};

/** Creates the view of an upstream only when it is read. */
const createDirectory = (
	core: OwnerCore,
	loads: OpenCallLoads,
	request: RouteRequest,
	allowed: readonly UpstreamResource[],
): EngineDirectory => ({
	count: allowed.length,
	viewAt: (position) =>
		createEngineView(core, loads, request, allowed[position]!),
	viewOf(upstreamId) {
		const upstream = core.configuration.view.upstreamFor(
			upstreamId,
			request.program.labels,
			request.target,
			{includeLeaving: true},
		);
		return upstream && createEngineView(core, loads, request, upstream);
	},
});

/** Lazily shuffles the positions 0 to count - 1; the cost grows only with the positions taken. */
function* shuffledPositions(count: number): Generator<number> {
	const moved = new Map<number, number>();
	for (let last = count - 1; last >= 0; last--) {
		const drawn = Math.floor(Math.random() * (last + 1));
		yield moved.get(drawn) ?? drawn;
		moved.set(drawn, moved.get(last) ?? last);
	}
}

/** Finds a random eligible upstream, preferably one at which the call has not just failed. */
const findEligible = (
	directory: EngineDirectory,
	{avoid}: RouteRequest,
): EngineView | undefined => {
	let fallback: EngineView | undefined;
	for (const position of shuffledPositions(directory.count)) {
		const view = directory.viewAt(position);
		if (isEligible(view)) {
			if (!avoid?.has(view.upstreamId)) {
				return view;
			}

			fallback = view;
		}
	}

	return fallback;
};

/** Chooses among the engine that has the program cached and a few randomly sampled ones. */
const chooseUpstream = (
	core: OwnerCore,
	request: RouteRequest,
	directory: EngineDirectory,
): {chosen: EngineView | undefined; views: EngineView[]} => {
	const {policy} = core.context.settings;
	const previous = findPreviousEngine(request.program);
	const sampled = sampleViews(
		directory,
		previous === undefined ? [] : [previous],
		policy,
		Math.random,
	);
	const routing = {
		programId: request.program.programId,
		promptTokens: request.promptTokens,
		expectedCompletionTokens: request.completionTokens,
		zone: request.zone,
		...(previous !== undefined && {previousUpstreamId: previous}),
		deadlineMs: request.program.deadlineMs,
	};
	const chosen = chooseEngine(
		routing,
		sampled.filter(({upstreamId}) => !request.avoid?.has(upstreamId)),
		policy,
		Math.random,
	);
	if (chosen) {
		return {chosen, views: sampled};
	}

	const eligible = findEligible(directory, request);
	return {chosen: eligible, views: eligible ? [...sampled, eligible] : sampled};
};

const addDispatcher = (
	core: OwnerCore,
	upstream: UpstreamResource,
): Omit<Route, 'cachedTokens' | 'views'> => {
	const dispatcher = findDispatcher(core, upstream.name);
	if (!dispatcher) {
		throw createRefusedError(
			'no-dispatcher',
			'No daemon is ready to dispatch the call.',
			'Retry later.',
		);
	}

	return {
		upstream,
		dispatcherId: dispatcher.daemonId,
		dispatcherIncarnation: dispatcher.incarnation,
	};
};
