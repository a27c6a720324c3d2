import type {Metrics} from './metrics.ts';

/** One row of the results: a policy at a load, with metrics whose names contain their units. */
export type Row = {
	scenario: string;
	load: number | string;
	policy: string;
	seed: number;
} & Record<string, number | string | null>;

const toPascalCase = (reason: string): string =>
	reason.replaceAll(/(?:^|-)(\w)/g, (_, letter: string) =>
		letter.toUpperCase(),
	);

/** Flattens metrics into a row; refusals become one column per reason. */
export const toRow = (
	key: {scenario: string; load: number | string; policy: string; seed: number},
	{refusedByReason, ...metrics}: Metrics,
): Row => {
	const row: Row = {...key, ...metrics};
	let otherRefusals = metrics.refusedPrograms;
	for (const reason of ['overloaded', 'deadline-unreachable']) {
		const count = refusedByReason[reason] ?? 0;
		row[`refused${toPascalCase(reason)}Programs`] = count;
		otherRefusals -= count;
	}

	row.refusedOtherPrograms = otherRefusals;
	return row;
};

/** Averages the rows of all seeds by scenario, load and policy. A mean is null when any seed has no value. */
export const averageRows = (rows: readonly Row[]): Row[] => {
	const groups = new Map<string, Row[]>();
	for (const row of rows) {
		const key = `${row.scenario}|${row.load}|${row.policy}`;
		groups.set(key, [...(groups.get(key) ?? []), row]);
	}

	return [...groups.values()].map((group) => {
		const mean: Row = {...group[0]!, seed: group.length};
		for (const name of Object.keys(mean)) {
			const values = group.map((row) => row[name]);
			if (!['load', 'seed'].includes(name) && typeof mean[name] !== 'string') {
				mean[name] = values.includes(null)
					? null
					: values.reduce((sum: number, value) => sum + Number(value), 0) /
						values.length;
			}
		}

		return mean;
	});
};
