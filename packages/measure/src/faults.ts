import {FAILURE_DETECTION_MS, type Fleet} from './fleet.ts';
import type {SimCall} from './sim-call.ts';
import type {VirtualClock} from './virtual-clock.ts';

/** Faults that the `failures` scenario injects. */
export const FAULTS = [
	'engine-lost',
	'engine-leaving',
	'engine-slowed',
	'stale-reports',
	'dispatcher-lost',
	'all-at-once',
] as const;

export type Fault = (typeof FAULTS)[number];

/** Delays until the routers learn that an engine is leaving, and that a failed one has recovered. */
const LEAVING_NOTICE_DELAY_MS = 2000;
const RECOVERY_NOTICE_DELAY_MS = 1000;

/** Time until another dispatcher takes over the queues of a failed one. */
const TAKEOVER_MS = 2000;

const setHealthy = (fleet: Fleet, engine: number, healthy: boolean): void => {
	for (const view of fleet.views) {
		view.healthy[engine] = healthy;
	}
};

const setPaused = (fleet: Fleet, engine: number, paused: boolean): void => {
	for (const queue of fleet.queuesOf(engine)) {
		queue.paused = paused;
	}
};

const clearQueues = (fleet: Fleet, engine: number): SimCall[] =>
	fleet.queuesOf(engine).flatMap((queue) => queue.clear());

const failEngine = (fleet: Fleet, clock: VirtualClock, engine: number) => {
	const lost = new Set([
		...fleet.engines[engine]!.fail(),
		...clearQueues(fleet, engine),
	]);
	setPaused(fleet, engine, true);
	fleet.resendLost(lost, FAILURE_DETECTION_MS);
	clock.after(FAILURE_DETECTION_MS, () => {
		setHealthy(fleet, engine, false);
		fleet.invalidateCache(engine);
		fleet.resendLost(clearQueues(fleet, engine), 0);
	});
	return () => {
		fleet.engines[engine]!.alive = true;
		setPaused(fleet, engine, false);
		clock.after(RECOVERY_NOTICE_DELAY_MS, () => {
			setHealthy(fleet, engine, true);
		});
	};
};

const removeEngine = (fleet: Fleet, clock: VirtualClock, engine: number) => {
	const setLeaving = (leaving: boolean) => {
		for (const view of fleet.views) {
			view.leaving[engine] = leaving;
		}
	};

	clock.after(LEAVING_NOTICE_DELAY_MS, () => {
		setLeaving(true);
	});
	return () => {
		// The replacement VM starts with an empty cache.
		fleet.engines[engine]!.cache.clear(clock.nowMs);
		fleet.invalidateCache(engine);
		setLeaving(false);
	};
};

const slowEngine = (fleet: Fleet, _clock: VirtualClock, engine: number) => {
	fleet.engines[engine]!.setSpeed(1 / 3);
	return () => {
		fleet.engines[engine]!.setSpeed(1);
	};
};

const makeReportsStale = (fleet: Fleet) => {
	const {cacheEventLoss} = fleet;
	fleet.reportsStale = true;
	fleet.cacheEventLoss = 0.5;
	return () => {
		fleet.reportsStale = false;
		fleet.cacheEventLoss = cacheEventLoss;
	};
};

/** Fails one dispatcher, with the calls of its engines. There are as many dispatchers as routers. */
const failDispatcher = (fleet: Fleet, clock: VirtualClock) => {
	const ownedEngines = [...fleet.engines.keys()].filter(
		(engine) => engine % fleet.options.routers === 0,
	);
	const lost = new Set<SimCall>();
	for (const engine of ownedEngines) {
		const cancelled = fleet.engines[engine]!.cancel(() => true);
		for (const call of [...clearQueues(fleet, engine), ...cancelled]) {
			lost.add(call);
		}

		setPaused(fleet, engine, true);
	}

	fleet.resendLost(lost, TAKEOVER_MS);
	clock.after(TAKEOVER_MS, () => {
		for (const engine of ownedEngines) {
			setPaused(fleet, engine, false);
			for (const queue of fleet.queuesOf(engine)) {
				queue.dispatchWaiting(clock.nowMs);
			}
		}
	});
	return () => {
		// Another dispatcher has taken over, so there is nothing to restore.
	};
};

/** Fails a router that sends to the engines itself, with all of its calls. */
const failRouter = (fleet: Fleet) => {
	const lost = new Set<SimCall>();
	for (const [engine, simulatedEngine] of fleet.engines.entries()) {
		const [ownQueue] = fleet.queuesOf(engine);
		const cancelled = simulatedEngine.cancel((call) => call.router === 0);
		for (const call of [...(ownQueue?.clear() ?? []), ...cancelled]) {
			lost.add(call);
		}
	}

	fleet.resendLost(lost, TAKEOVER_MS);
	fleet.failedRouters.add(0);
	return () => {
		fleet.failedRouters.clear();
	};
};

/** Schedules a fault for a period. Faults that run at the same time affect different engines. */
export const scheduleFault = (
	fault: Fault,
	{fleet, clock}: {fleet: Fleet; clock: VirtualClock},
	{startMs, endMs}: {startMs: number; endMs: number},
): void => {
	const injectors: Record<Exclude<Fault, 'all-at-once'>, () => () => void> = {
		'engine-lost': () => failEngine(fleet, clock, 1),
		'engine-leaving': () => removeEngine(fleet, clock, 2),
		'engine-slowed': () => slowEngine(fleet, clock, 3),
		'stale-reports': () => makeReportsStale(fleet),
		'dispatcher-lost': () =>
			fleet.options.policy.queueing === 'dispatcher'
				? failDispatcher(fleet, clock)
				: failRouter(fleet),
	};
	const selected =
		fault === 'all-at-once' ? Object.values(injectors) : [injectors[fault]];
	clock.after(startMs, () => {
		const restores = selected.map((inject) => inject());
		clock.after(endMs - startMs, () => {
			for (const restore of restores) {
				restore();
			}
		});
	});
};
