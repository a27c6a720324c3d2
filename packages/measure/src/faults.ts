import {LOSS_DETECTION_MS, type Fleet} from './fleet.ts';
import type {SimCall} from './sim-call.ts';
import type {VirtualClock} from './virtual-clock.ts';

/** Faults of the scenario `failures`. */
export const FAULTS = [
	'engine-lost',
	'engine-leaving',
	'engine-slowed',
	'stale-reports',
	'dispatcher-lost',
	'all-at-once',
] as const;

export type Fault = (typeof FAULTS)[number];

/** Delay until the routers know that an engine is leaving, and that one is back. */
const LEAVING_DELAY_MS = 2000;
const RETURN_DELAY_MS = 1000;

/** Time until another dispatcher has taken over the queues of a lost one. */
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

const loseEngine = (fleet: Fleet, clock: VirtualClock, engine: number) => {
	const lost = new Set([
		...fleet.engines[engine]!.fail(),
		...clearQueues(fleet, engine),
	]);
	setPaused(fleet, engine, true);
	fleet.resendLost(lost, LOSS_DETECTION_MS);
	clock.after(LOSS_DETECTION_MS, () => {
		setHealthy(fleet, engine, false);
		fleet.forgetCache(engine);
		fleet.resendLost(clearQueues(fleet, engine), 0);
	});
	return () => {
		fleet.engines[engine]!.alive = true;
		setPaused(fleet, engine, false);
		clock.after(RETURN_DELAY_MS, () => {
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

	clock.after(LEAVING_DELAY_MS, () => {
		setLeaving(true);
	});
	return () => {
		// The VM that takes its place starts with an empty cache.
		fleet.engines[engine]!.cache.clear(clock.nowMs);
		fleet.forgetCache(engine);
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

/** Loses one of as many dispatchers as there are routers, with the calls of its engines. */
const loseDispatcher = (fleet: Fleet, clock: VirtualClock) => {
	const owned = [...fleet.engines.keys()].filter(
		(engine) => engine % fleet.options.routers === 0,
	);
	const lost = new Set<SimCall>();
	for (const engine of owned) {
		const cancelled = fleet.engines[engine]!.cancel(() => true);
		for (const call of [...clearQueues(fleet, engine), ...cancelled]) {
			lost.add(call);
		}

		setPaused(fleet, engine, true);
	}

	fleet.resendLost(lost, TAKEOVER_MS);
	clock.after(TAKEOVER_MS, () => {
		for (const engine of owned) {
			setPaused(fleet, engine, false);
			for (const queue of fleet.queuesOf(engine)) {
				queue.pump(clock.nowMs);
			}
		}
	});
	return () => {
		// Another dispatcher has taken over; nothing is left to repair.
	};
};

/** Loses a router that sends to the engines itself, with all of its calls. */
const loseRouter = (fleet: Fleet) => {
	const lost = new Set<SimCall>();
	for (const [engine, standIn] of fleet.engines.entries()) {
		const [ownQueue] = fleet.queuesOf(engine);
		const cancelled = standIn.cancel((call) => call.router === 0);
		for (const call of [...(ownQueue?.clear() ?? []), ...cancelled]) {
			lost.add(call);
		}
	}

	fleet.resendLost(lost, TAKEOVER_MS);
	fleet.lostRouters.add(0);
	return () => {
		fleet.lostRouters.clear();
	};
};

/** Plans a fault over a period; several faults hit different engines. */
export const planFault = (
	fault: Fault,
	{fleet, clock}: {fleet: Fleet; clock: VirtualClock},
	{startMs, endMs}: {startMs: number; endMs: number},
): void => {
	const starts: Record<Exclude<Fault, 'all-at-once'>, () => () => void> = {
		'engine-lost': () => loseEngine(fleet, clock, 1),
		'engine-leaving': () => removeEngine(fleet, clock, 2),
		'engine-slowed': () => slowEngine(fleet, clock, 3),
		'stale-reports': () => makeReportsStale(fleet),
		'dispatcher-lost': () =>
			fleet.options.policy.queueing === 'dispatcher'
				? loseDispatcher(fleet, clock)
				: loseRouter(fleet),
	};
	const chosen =
		fault === 'all-at-once' ? Object.values(starts) : [starts[fault]];
	clock.after(startMs, () => {
		const ends = chosen.map((start) => start());
		clock.after(endMs - startMs, () => {
			for (const end of ends) {
				end();
			}
		});
	});
};
