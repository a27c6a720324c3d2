import {asId, type UpstreamId} from '@marjoramcove/types';
import {
	matchesDesiredState,
	type ControllerAction,
	type ControllerEvent,
	type ControllerState,
	createControllerState,
	type EngineState,
	stepController,
} from '@marjoramcove/engine-control';
import {SimulatedEngine} from './simulated-engine.ts';

/** Faults that can be injected into the model; each must be detected. */
export const FENCING_FAULTS = [
	'engine-forgets-fencing',
	'leader-ignores-lease',
	'leader-skips-wait',
	'leader-stops-reading',
] as const;

export type FencingFault = (typeof FENCING_FAULTS)[number];

/** What happens in one step of 200 ms; `delay` and `randomFraction` are from 0 to 1. */
export type FencingStep = {
	event: 'none' | 'change-leader' | 'restart-engine';
	delay: number;
	randomFraction: number;
};

const STEP_MS = 200;
const SETTLING_STEPS = 300;
const upstreamId = asId<UpstreamId>('engine-1');

const createDesiredState = (fencingNumber: number): EngineState => ({
	models: ['agent-large'],
	adapters: [],
	version: String(fencingNumber),
	role: 'mixed',
});

/**
 * Two controllers whose clocks differ by the maximum drift, one engine, and a network that loses,
 * duplicates and delays messages.
 */
export class FencingModel {
	readonly #engine: SimulatedEngine;
	readonly #controllers: ControllerState[];
	readonly #fault: FencingFault | undefined;
	readonly #checksFencing: boolean;
	#messages: Array<{atMs: number; run: () => void}> = [];
	#fencingNumber = 0;
	#nowMs = 0;

	constructor(checksFencing: boolean, fault?: FencingFault) {
		this.#fault = fault;
		this.#checksFencing = checksFencing;
		this.#engine = new SimulatedEngine(
			upstreamId,
			checksFencing && fault !== 'engine-forgets-fencing',
		);
		this.#controllers = [0, 1].map(() =>
			createControllerState({
				loadIntervalMs: 1000,
				loadTimeoutMs: 5000,
				readIntervalMs: fault === 'leader-stops-reading' ? 1e9 : 2000,
			}),
		);
		this.#changeLeader();
	}

	/** Runs the steps, then settling steps without leader changes or losses; returns the problems. */
	run(steps: FencingStep[]): string[] {
		for (const step of steps) {
			if (step.event === 'change-leader') {
				this.#changeLeader();
			} else if (step.event === 'restart-engine') {
				this.#engine.state = {...this.#engine.state, version: 'restarted'};
			}

			this.#advance(step);
		}

		for (let index = 0; index < SETTLING_STEPS; index++) {
			if (index === SETTLING_STEPS / 2) {
				this.#engine.state = {...this.#engine.state, version: 'restarted'};
			}

			this.#advance({event: 'none', delay: 0, randomFraction: 0.5});
		}

		const {executedFencingNumbers: ran, state} = this.#engine;
		const isOrdered = ran.every(
			(number, index) => index === 0 || number >= ran[index - 1]!,
		);
		return [
			...(isOrdered ? [] : [`old order after a new one: ${ran.join(' ')}`]),
			...(matchesDesiredState(state, createDesiredState(this.#fencingNumber))
				? []
				: [`engine ends at ${JSON.stringify(state)}`]),
		];
	}

	/**
	 * Local clock of a controller: the first one is fast and the second one slow, each by half the
	 * maximum drift.
	 */
	#localTimeOf(index: number): number {
		return this.#nowMs * (index === 0 ? 1.005 : 0.995) + index * 1000;
	}

	#changeLeader(): void {
		this.#fencingNumber++;
		const index = this.#fencingNumber % 2;
		const state = this.#controllers[index]!;
		this.#deliver(index, {
			type: 'leadership-started',
			fencingNumber: this.#fencingNumber,
		});
		this.#deliver(index, {
			type: 'engines',
			engines: [
				{
					upstreamId,
					checksFencing: this.#checksFencing,
					desired: createDesiredState(this.#fencingNumber),
				},
			],
		});
		if (this.#fault === 'leader-skips-wait') {
			state.unfencedFromMs = Number.NEGATIVE_INFINITY;
		}
	}

	#advance(step: FencingStep): void {
		this.#nowMs += STEP_MS;
		const due = this.#messages.filter(({atMs}) => atMs <= this.#nowMs);
		this.#messages = this.#messages.filter(({atMs}) => atMs > this.#nowMs);
		for (const message of due) {
			message.run();
		}

		const leader = this.#fencingNumber % 2;
		for (const [index, state] of this.#controllers.entries()) {
			if (this.#fault === 'leader-ignores-lease') {
				state.leaseUntilMs = Number.POSITIVE_INFINITY;
			}

			this.#deliver(
				index,
				index === leader
					? {
							type: 'leadership-confirmed',
							roundBeganAtMs: this.#localTimeOf(index),
						}
					: {type: 'tick'},
				step,
			);
		}
	}

	#deliver(index: number, event: ControllerEvent, step?: FencingStep): void {
		const {actions} = stepController(
			this.#controllers[index]!,
			event,
			this.#localTimeOf(index),
		);
		for (const action of actions) {
			this.#send(
				index,
				action,
				step ?? {event: 'none', delay: 0, randomFraction: 0.5},
			);
		}
	}

	/**
	 * Sends an order or a read; the request and the answer may be lost or late, the request also
	 * duplicated.
	 */
	#send(
		index: number,
		action: ControllerAction,
		{delay, randomFraction}: FencingStep,
	): void {
		if (
			action.type === 'wait' ||
			action.type === 'fenced-off' ||
			randomFraction < 0.1
		) {
			return;
		}

		const lifetimeMs = this.#controllers[index]!.settings.orderLifetimeMs;
		const run = (): void => {
			const answer =
				action.type === 'read-state'
					? this.#engine.read(action.readId)
					: this.#engine.receive(action);
			if (randomFraction >= 0.2) {
				this.#messages.push({
					atMs: this.#nowMs + delay * 2000,
					run: () => {
						this.#deliver(index, answer);
					},
				});
			}
		};

		this.#messages.push({atMs: this.#nowMs + delay * lifetimeMs, run});
		if (randomFraction > 0.9) {
			this.#messages.push({atMs: this.#nowMs + lifetimeMs, run});
		}
	}
}
