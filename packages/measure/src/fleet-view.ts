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

/** What an engine's report says. */
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

type Known = {
	report: LoadReport;
	/** The router's own open work at the time of the report. */
	ownAtReport: OpenWork;
	own: OpenWork;
	reportedAtMs: number;
};

const createWork = (): OpenWork => ({
	calls: 0,
	prefillTokens: 0,
	completionTokens: 0,
});

/**
 * What one router knows of the engines: its own dispatch records, and reports that arrive late. An
 * estimate is the report plus what the router itself has sent and seen finished since then.
 */
export class FleetView {
	readonly healthy: boolean[];
	readonly leaving: boolean[];
	/** Current time, for the age of reports. */
	nowMs = 0;
	#speeds = createEngineSpeeds();
	readonly #routers: number;
	readonly #settings: PolicySettings;
	readonly #model: EngineModel;
	readonly #zones: ZoneName[];
	readonly #ids: UpstreamId[];
	readonly #known: Known[];

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
		this.#known = positions.map(() => ({
			report: {...createWork(), cacheUsedTokens: 0},
			ownAtReport: createWork(),
			own: createWork(),
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
	record(engine: number, work: OpenWork, sign: 1 | -1): void {
		const {own} = this.#known[engine]!;
		own.calls += sign * work.calls;
		own.prefillTokens += sign * work.prefillTokens;
		own.completionTokens += sign * work.completionTokens;
	}

	/** Takes a report at the time at which the engine made it; `deliver` puts it in force. */
	receiveReport(engine: number, report: LoadReport): () => void {
		const known = this.#known[engine]!;
		const ownAtReport = {...known.own};
		const reportedAtMs = this.nowMs;
		return () => {
			known.report = report;
			known.ownAtReport = ownAtReport;
			known.reportedAtMs = reportedAtMs;
		};
	}

	/** Speed of an engine as the router's own calls show it; reports do not say. */
	relativeSpeed(engine: number): number {
		return readRelativeSpeed(this.#speeds, this.#ids[engine]!);
	}

	/** What the router expects of an engine now. */
	estimate(engine: number): OpenWork & LoadReport {
		const known = this.#known[engine]!;
		return {
			...known.report,
			...estimateOpenWork(
				{
					...known,
					reportAgeMs: this.nowMs - known.reportedAtMs,
					dispatchers: this.#routers,
				},
				this.#settings,
			),
		};
	}

	view(engine: number, cachedTokens: number): EngineView {
		const known = this.estimate(engine);
		const {slots, cacheCapacityTokens} = this.#model;
		return {
			upstreamId: this.#ids[engine]!,
			zone: this.#zones[engine]!,
			slots,
			inFlight: Math.min(slots, known.calls),
			queued: Math.max(0, known.calls - slots),
			outstandingTokens: known.prefillTokens + known.completionTokens,
			outstandingCompletionTokens: known.completionTokens,
			cachedTokens,
			cacheCapacityTokens,
			cacheUsedTokens: known.cacheUsedTokens,
			relativeSpeed: this.relativeSpeed(engine),
			leaving: this.leaving[engine]!,
			healthy: this.healthy[engine]!,
		};
	}
}
