import type {MemberCapacity} from '@marjoramcove/fleet';
import type {DaemonResources} from './gateway-settings.ts';

/**
 * Resources that go with one core before they bind. They are below what the VMs of deployments have, so that
 * the processor decides unless another resource is scarce.
 */
const LINK_BITS_PER_CORE = 40e6;
const DESCRIPTORS_PER_CORE = 6000;
const MEMORY_BYTES_PER_CORE = 150e6;

/** Memory of a daemon without requests. */
const BASE_MEMORY_BYTES = 90e6;

/** Least capacity, so that a ready daemon never gets nothing. */
const MIN_CORES = 0.02;

/**
 * Use of a limit from which a daemon gets fewer callers, by level, and below which the level ends. The gap and
 * the hold keep a member from changing more than every few seconds, because all daemons are told of it.
 */
const LEVELS = [
	{fromShare: 0.8, untilShare: 0.65},
	{fromShare: 0.92, untilShare: 0.8},
] as const;

/** Least time between a rise of the level and its fall. */
const HOLD_MS = 5000;

/** Number of measurements above a threshold that raise the level. */
const RAISE_COUNT = 2;

/** Use of the limits of a daemon, each as share of its limit. */
export type ResourceUse = {memoryShare: number; linkShare: number};

/**
 * Derives the number of cores that a daemon can use for requests, limited by its other resources.
 *
 * @example
 * ```ts
 * deriveCores({cores: 0.5, memoryBytes: 256e6, maxDescriptors: 6000, linkBitsPerSecond: 30e6}); // 0.5
 * ```
 */
export const deriveCores = ({
	cores,
	memoryBytes,
	maxDescriptors,
	linkBitsPerSecond,
}: DaemonResources): number =>
	Math.max(
		MIN_CORES,
		Math.round(
			1000 *
				Math.min(
					cores,
					linkBitsPerSecond / LINK_BITS_PER_CORE,
					maxDescriptors / DESCRIPTORS_PER_CORE,
					(memoryBytes - BASE_MEMORY_BYTES) / MEMORY_BYTES_PER_CORE,
				),
		) / 1000,
	);

/**
 * Capacity that a daemon reports. The load that it answers: entry VMs of 0.243 to 0.81 of a core that callers
 * would use alike, and one that nears its memory or link limit.
 *
 * @example
 * ```ts
 * const levels = new CapacityLevels(resources);
 * levels.record({memoryShare: 0.4, linkShare: 0.9}, performance.now());
 * levels.capacity; // {cores: 0.5}
 * ```
 */
export class CapacityLevels {
	readonly #cores: number;
	#level = 0;
	#highCount = 0;
	#raisedAtMs = Number.NEGATIVE_INFINITY;

	constructor(resources: DaemonResources) {
		this.#cores = deriveCores(resources);
	}

	get capacity(): MemberCapacity {
		return this.#level === 0
			? {cores: this.#cores}
			: {cores: this.#cores, pressure: this.#level};
	}

	/** @returns whether the level changed. */
	record({memoryShare, linkShare}: ResourceUse, nowMs: number): boolean {
		const share = Math.max(memoryShare, linkShare);
		const before = this.#level;
		const reached = LEVELS.filter(({fromShare}) => share >= fromShare).length;
		this.#highCount = reached > before ? this.#highCount + 1 : 0;
		if (this.#highCount >= RAISE_COUNT) {
			this.#level = reached;
			this.#raisedAtMs = nowMs;
			this.#highCount = 0;
		} else if (reached < before && nowMs - this.#raisedAtMs >= HOLD_MS) {
			const kept = LEVELS.slice(0, before).filter(
				({untilShare}) => share >= untilShare,
			).length;
			this.#level = Math.max(reached, kept);
		}

		return this.#level !== before;
	}
}
