import {
	type AdmissionCall,
	type AdmissionDecision,
	admitCall,
	chooseEngine,
	decideRetention,
	type FleetLoad,
	hasCapacity,
	type InFlightLoad,
	pickNext,
	type PolicySettings,
	type QueuedCall,
	type RetentionDecision,
	type RetentionInput,
	sampleViews,
} from '@marjoramcove/scheduler';
import {Policy, type Queueing, type RoutingContext} from './policy.ts';

/** Parts of the policy that an ablation can disable. */
export const POLICY_PARTS = [
	'admission',
	'order',
	'affinity',
	'retention',
	'export',
	'fairness',
	'short-queue',
] as const;

export type PolicyPart = (typeof POLICY_PARTS)[number];

/** Two commits of about 3.5 ms each and one hop between daemons, before a response is complete. */
const CONTROL_DELAY_MS = 8;

/** Large enough to leave the calls in flight at an engine unlimited. */
const UNLIMITED_SLOTS_FACTOR = 1000;

/** Runs the scheduler package as the daemon does. */
export class MarjoramcovePolicy extends Policy {
	readonly #settings: PolicySettings;
	readonly #without: PolicyPart | undefined;
	readonly #independent: boolean;

	constructor(
		settings: PolicySettings,
		{
			without,
			independent = false,
		}: {without?: PolicyPart; independent?: boolean} = {},
	) {
		super();
		this.#settings = settings;
		this.#without = without;
		this.#independent = independent;
	}

	override get queueing(): Queueing {
		return this.#independent ? 'independent' : 'dispatcher';
	}

	override get controlDelayMs(): number {
		return CONTROL_DELAY_MS;
	}

	override get slotsFactor(): number {
		return this.#without === 'short-queue' ? UNLIMITED_SLOTS_FACTOR : 1;
	}

	override get name(): string {
		if (this.#independent) {
			return 'marjoramcove-independent-dispatch';
		}

		return this.#without
			? `marjoramcove-without-${this.#without}`
			: 'marjoramcove';
	}

	override route(context: RoutingContext): number | undefined {
		const {request, view, random} = context;
		const hasAffinity = this.#without !== 'affinity';
		const cachedEngine = hasAffinity ? context.cachedEngine : undefined;
		const directory = {
			count: view.count,
			viewAt: (engine: number) =>
				view.view(engine, engine === cachedEngine ? context.cachedTokens : 0),
			viewOf: () => undefined,
		};
		const views = sampleViews(directory, [], this.#settings, random);
		if (
			cachedEngine !== undefined &&
			!views.some((item) => item.upstreamId === view.idOf(cachedEngine))
		) {
			views.push(directory.viewAt(cachedEngine));
		}

		let chosen = chooseEngine(request, views, this.#settings, random);
		if (!chosen && views.length < view.count) {
			// All sampled engines are leaving or unhealthy, so consider every engine.
			const all = Array.from({length: view.count}, (_, engine) =>
				directory.viewAt(engine),
			);
			chosen = chooseEngine(request, all, this.#settings, random);
		}

		return chosen && view.positionOf(chosen.upstreamId);
	}

	override admit(
		load: FleetLoad,
		call: AdmissionCall,
		nowMs: number,
	): AdmissionDecision {
		return this.#without === 'admission'
			? {admitted: true}
			: admitCall(load, call, nowMs, this.#settings);
	}

	override pick(
		queue: readonly QueuedCall[],
		nowMs: number,
	): QueuedCall | undefined {
		if (this.#without === 'order') {
			return queue[0];
		}

		const calls =
			this.#without === 'fairness'
				? queue.map((call) => ({...call, callerServiceMs: 0}))
				: queue;
		const picked = pickNext(calls, nowMs, this.#settings);
		return picked && queue[calls.indexOf(picked)];
	}

	override hasCapacity(load: InFlightLoad, call: QueuedCall): boolean {
		return (
			this.#without === 'short-queue' || hasCapacity(load, call, this.#settings)
		);
	}

	override retain(input: RetentionInput): RetentionDecision | undefined {
		if (this.#without === 'retention') {
			return undefined;
		}

		return decideRetention(
			this.#without === 'export' ? {...input, exportFreeTokens: 0} : input,
			this.#settings,
		);
	}
}
