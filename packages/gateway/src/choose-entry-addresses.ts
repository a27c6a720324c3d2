import type {FleetMember} from '@marjoramcove/fleet';

/** Maximum number of addresses in a response. */
const MAX_ADDRESSES = 64;

/** Minimum number of daemons to keep callers in their zone, so that losing one leaves another. */
const MIN_DAEMONS_IN_ZONE = 2;

/**
 * Share of its callers that a daemon keeps at each level of pressure. Never 0, because all daemons may be
 * under pressure, and because a ready daemon must not be without callers.
 */
const PRESSURE_SHARES = [1, 0.4, 0.1] as const;

/** Factor to the median up to which a reported capacity is believed, so that a wrong one does not take all callers. */
const MAX_MEDIAN_FACTOR = 8;

/** Capacities that differ by less are treated as equal: rounding, and figures of the same class of VM. */
const MIN_CAPACITY_FACTOR = 1.05;

/** Takes `count` items at random, each with the same probability (partial Fisher-Yates shuffle). */
const takeRandom = <Item>(
	items: readonly Item[],
	count: number,
	random: () => number,
): Item[] => {
	if (items.length <= count) {
		return [...items];
	}

	const shuffled = [...items];
	for (let index = 0; index < count; index++) {
		const other = index + Math.floor(random() * (shuffled.length - index));
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled.slice(0, count);
};

type WeightedEntry = {entry: FleetMember; weight: number};

const isCapacity = (cores: number | undefined): cores is number =>
	typeof cores === 'number' && Number.isFinite(cores) && cores > 0;

/** Daemons that report no capacity, such as those of an earlier version, count like the median of the others. */
const weighEntries = (entries: readonly FleetMember[]): WeightedEntry[] => {
	const known = entries
		.map(({capacity}) => capacity?.cores)
		.filter((cores) => isCapacity(cores))
		.sort((a, b) => a - b);
	const median = known[Math.floor(known.length / 2)] ?? 1;
	return entries.map((entry) => {
		const {cores, pressure = 0} = entry.capacity ?? {};
		const size = isCapacity(cores) ? cores : median;
		const share = PRESSURE_SHARES[pressure] ?? PRESSURE_SHARES[0];
		const believed = Math.min(
			median * MAX_MEDIAN_FACTOR,
			Math.max(median / MAX_MEDIAN_FACTOR, size),
		);
		return {entry, weight: believed * share};
	});
};

const takeRandomOrder = <Item>(
	items: readonly Item[],
	random: () => number,
): Item[] => {
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = Math.floor(random() * (index + 1));
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled;
};

/** Takes each item with its probability; their number varies by less than one (systematic sampling). */
const takeByProbability = <Item>(
	items: ReadonlyArray<{item: Item; probability: number}>,
	random: () => number,
): Item[] => {
	const shuffled = takeRandomOrder(items, random);
	const taken: Item[] = [];
	let position = random();
	for (const {item, probability} of shuffled) {
		position += probability;
		if (position >= 1) {
			taken.push(item);
			position -= 1;
		}
	}

	return taken;
};

/**
 * Draws a set so that a caller that picks one of it at random reaches each daemon in proportion to its weight.
 * All sets of a size then need probabilities of at most 1, which limits the size. A daemon with more than half
 * of the weight is in each set, alone or with one other, so that callers still learn of a second one.
 */
const drawEntries = (
	weighted: readonly WeightedEntry[],
	random: () => number,
): FleetMember[] => {
	const total = weighted.reduce((sum, {weight}) => sum + weight, 0);
	let largest = weighted[0]!;
	for (const candidate of weighted) {
		largest = candidate.weight > largest.weight ? candidate : largest;
	}

	const size = Math.min(MAX_ADDRESSES, Math.floor(total / largest.weight));
	const hasDominant = size < 2;
	const drawn = hasDominant
		? weighted.filter((candidate) => candidate !== largest)
		: weighted;
	const taken = takeByProbability(
		drawn.map(({entry, weight}) => ({
			item: entry,
			probability: ((hasDominant ? 2 : size) * weight) / total,
		})),
		random,
	);
	return hasDominant ? [largest.entry, ...taken] : taken;
};

/**
 * Chooses the addresses for a caller: the ready entry daemons in its zone, or all ready ones if the zone
 * has too few. Callers pick one address at random, so daemons of different capacity are included with
 * different probability. Of more equal daemons than a response holds, each caller gets others.
 *
 * @param random - uniform random number in [0, 1).
 * @example
 * ```ts
 * const addresses = chooseEntryAddresses(view.membersWithRole('entry'), 'zone-a', Math.random);
 * ```
 */
export const chooseEntryAddresses = (
	entries: readonly FleetMember[],
	zone: string | undefined,
	random: () => number,
): string[] => {
	const ready = entries.filter(
		({phase, entryAddress}) => phase === 'ready' && entryAddress !== undefined,
	);
	const inZone = ready.filter((entry) => entry.zone === zone);
	const chosen = inZone.length >= MIN_DAEMONS_IN_ZONE ? inZone : ready;
	const weighted = weighEntries(chosen);
	const weights = weighted.map(({weight}) => weight);
	const isEqual =
		Math.max(...weights) <= MIN_CAPACITY_FACTOR * Math.min(...weights);
	const taken =
		isEqual || chosen.length < 2
			? takeRandom(chosen, MAX_ADDRESSES, random)
			: drawEntries(weighted, random);
	return taken.map(({entryAddress}) => entryAddress!);
};
