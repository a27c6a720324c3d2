import {
	createEngineSpeeds,
	type EngineView,
	estimateOpenWork,
	type OpenWork,
	type PolicySettings,
	readRelativeSpeed,
	recordSpeed,
} from '@marjoramcove/scheduler';
import {asId, type UpstreamId, type ZoneName} from '@marjoramcove/types';
import type {EngineModel} from './engine-model.ts';

/** Load that an engine reports. */
export type LoadReport = OpenWork & {
	cacheUsedTokens: number;
};

export type ViewOptions = {
	engines: number;
	zones: number;
	/** Number of routers that send work to the engines. */
	routers: number;
	model: EngineModel;
	settings: PolicySettings;
};

type EngineState = {
	report: LoadReport;
	/** Open work of this router when the engine created the report. */
	ownAtReport: OpenWork;
	own: OpenWork;
	reportedAtMs: number;
};

const createOpenWork = (): OpenWork => ({
	calls: 0,
	prefillTokens: 0,
	completionTokens: 0,
});

/**
 * A router's view of the engines, based on its own dispatch records and on delayed load reports. An
 * estimate is the last report, adjusted by the calls that the router has sent and seen finish since.
 */
export class FleetView {
	readonly healthy: boolean[];
	readonly leaving: boolean[];
	/** Current time, from which the age of reports is computed. */
	nowMs = 0;
	#speeds = createEngineSpeeds();
	readonly #routers: number;
	readonly #settings: PolicySettings;
	readonly #model: EngineModel;
	readonly #zones: ZoneName[];
	readonly #ids: UpstreamId[];
	readonly #engineStates: EngineState[];

	constructor({engines, zones, routers, model, settings}: ViewOptions) {
		this.#routers = routers;
		this.#settings = settings;
		const positions = Array.from({length: engines}, (_, engine) => engine);
		this.#model = model;
		this.#ids = positions.map((engine) => asId<UpstreamId>(`engine-${engine}`));
		this.#zones = positions.map((engine) =>
			asId<ZoneName>(`zone-${engine % zones}`),
		);
		this.healthy = positions.map(() => true);
		this.leaving = positions.map(() => false);
		this.#engineStates = positions.map(() => ({
			report: {...createOpenWork(), cacheUsedTokens: 0},
			ownAtReport: createOpenWork(),
			own: createOpenWork(),
			reportedAtMs: 0,
		}));
	}

	get count(): number {
		return this.#ids.length;
	}

	idOf(engine: number): UpstreamId {
		return this.#ids[engine]!;
	}

	positionOf(id: UpstreamId): number {
		return this.#ids.indexOf(id);
	}

	/** Records how long a call took relative to the estimate for an engine of normal speed. */
	recordDuration(engine: number, ratio: number): void {
		this.#speeds = recordSpeed(this.#speeds, this.#ids[engine]!, ratio);
	}

	/** Records a sent call (`sign` 1) or a finished one (-1). */
	recordWork(engine: number, work: OpenWork, sign: 1 | -1): void {
		const {own} = this.#engineStates[engine]!;
		own.calls += sign * work.calls;
		own.prefillTokens += sign * work.prefillTokens;
		own.completionTokens += sign * work.completionTokens;
	}

	/** Captures the router's own open work when an engine creates a report; the returned function delivers the report. */
	prepareReport(engine: number, report: LoadReport): () => void {
		const state = this.#engineStates[engine]!;
		const ownAtReport = {...state.own};
		const reportedAtMs = this.nowMs;
		return () => {
			state.report = report;
			state.ownAtReport = ownAtReport;
			state.reportedAtMs = reportedAtMs;
		};
	}

	/** Returns the speed of an engine as measured by the router's own calls; reports do not contain it. */
	relativeSpeed(engine: number): number {
		return readRelativeSpeed(this.#speeds, this.#ids[engine]!);
	}

	/** Estimates the current load of an engine. */
	estimate(engine: number): OpenWork & LoadReport {
		const state = this.#engineStates[engine]!;
		return {
			...state.report,
			...estimateOpenWork(
				{
					...state,
					reportAgeMs: this.nowMs - state.reportedAtMs,
					dispatchers: this.#routers,
				},
				this.#settings,
			),
		};
	}

	view(engine: number, cachedTokens: number): EngineView {
		const state = this.estimate(engine);
		const {slots, cacheCapacityTokens} = this.#model;
		return {
			upstreamId: this.#ids[engine]!,
			zone: this.#zones[engine]!,
			slots,
			inFlight: Math.min(slots, state.calls),
			queued: Math.max(0, state.calls - slots),
			outstandingTokens: state.prefillTokens + state.completionTokens,
			outstandingCompletionTokens: state.completionTokens,
			cachedTokens,
			cacheCapacityTokens,
			cacheUsedTokens: state.cacheUsedTokens,
			relativeSpeed: this.relativeSpeed(engine),
			leaving: this.leaving[engine]!,
			healthy: this.healthy[engine]!,
		};
	}
}
