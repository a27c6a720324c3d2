import {
	changesSince,
	configurationDigest,
	type ConfigurationCommand,
	type ConfigurationResult,
	type ConfigurationUpdate,
	ConfigurationView,
	createConfigurationState,
	decodeConfiguration,
	encodeConfiguration,
	listResources,
	type Resource,
	stepConfiguration,
} from '@marjoramcove/configuration';
import {
	asId,
	type OperationId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';

/** Faults that can be injected into the model; each must be detected. */
export const CONFIGURATION_FAULTS = [
	'accept-stale-revision',
	'forget-fencing',
	'forget-operations',
	'lose-change',
	'lose-update',
	'view-goes-back',
] as const;

export type ConfigurationFault = (typeof CONFIGURATION_FAULTS)[number];

/**
 * One random choice: which action, on which item, and a percentage that decides losses and other
 * details.
 */
export type ConfigurationChoice = {
	action: number;
	pick: number;
	randomPercent: number;
};

const createResource = (
	name: string,
	pick: number,
	randomPercent: number,
): Resource => {
	const labels = {fleet: `f${pick}`};
	if (randomPercent >= 80) {
		return {kind: 'ProgramLabelRule', name, labels, spec: {match: {}, add: {}}};
	}

	return randomPercent < 50
		? {
				kind: 'Upstream',
				name: asId<UpstreamId>(name),
				labels,
				spec: {
					type: 'engine',
					address: 'http://127.0.0.1:9001',
					zone: asId<ZoneName>('zone-a'),
					models: ['agent-large'],
					slots: 8,
					checksFencing: true,
				},
			}
		: {
				kind: 'Selector',
				name,
				labels,
				spec: {programs: {}, upstreams: {}, priority: pick},
			};
};

/** Serializes resources in an order that does not depend on the state machine. */
const serializeSorted = (resources: Iterable<Resource>): string =>
	[...resources]
		.map((resource) => JSON.stringify(resource))
		.sort()
		.join('\n');

/**
 * Concurrent operators, a replicated configuration whose owner changes, and views that lag behind.
 */
export class ConfigurationModel {
	readonly problems = new Set<string>();
	readonly #fault: ConfigurationFault | undefined;
	#state = createConfigurationState();
	#views = [0, 1, 2].map(() => new ConfigurationView());
	readonly #expected = new Map<string, Resource>();
	readonly #outcomes = new Map<string, string>();
	readonly #acceptedOperations = new Map<number, string>();
	readonly #grants = new Map<string, number>();
	#pendingCommands: ConfigurationCommand[] = [];
	readonly #updates: Array<{view: number; update: ConfigurationUpdate}> = [];
	#operatorRevisions = [0, 0, 0];
	#nextOperationNumber = 0;
	#term = 0;

	constructor(fault?: ConfigurationFault) {
		this.#fault = fault;
	}

	/** Runs the choices, then updates all views; returns the problems. */
	run(choices: ConfigurationChoice[]): string[] {
		for (const choice of choices) {
			this.#applyChoice(choice);
		}

		for (const [index, view] of this.#views.entries()) {
			this.#updateView(index, changesSince(this.#state, view.digest.revision));
			this.#report(
				view.digest.hash !== this.#state.hash &&
					this.#fault !== 'view-goes-back',
				'view does not converge',
			);
		}

		return [...this.problems];
	}

	#applyChoice({action, pick, randomPercent}: ConfigurationChoice): void {
		if (action < 30) {
			this.#change(pick, randomPercent);
		} else if (action < 35) {
			this.#operatorRevisions[pick % 3] = this.#state.revision;
		} else if (action < 40) {
			this.#term += randomPercent % 2;
			this.#pendingCommands.push({
				type: 'grant-fencing',
				daemonId: `d${this.#term}`,
				term: this.#term,
			});
		} else if (action < 70) {
			this.#deliver(pick, randomPercent);
		} else if (action < 75) {
			this.#changeOwner();
		} else if (action < 85) {
			const view = pick % 3;
			const {revision} = this.#views[view]!.digest;
			this.#updates.push({
				view,
				update: changesSince(this.#state, randomPercent < 10 ? -1 : revision),
			});
		} else if (this.#updates.length > 0) {
			const {view, update} = this.#updates[pick % this.#updates.length]!;
			this.#updateView(view, update);
		}
	}

	/** Sends the change of an operator, based on the revision that the operator last read. */
	#change(pick: number, randomPercent: number): void {
		const base = this.#operatorRevisions[pick % 3]!;
		const name = `r${randomPercent % 5}`;
		this.#pendingCommands.push({
			type: 'change',
			operationId: asId<OperationId>(`o${this.#nextOperationNumber++}`),
			baseRevision: base,
			changes: [
				pick % 5 === 0
					? {type: 'delete', kind: 'Upstream', name}
					: {
							type: 'apply',
							resource: createResource(name, pick, randomPercent),
						},
			],
		});
	}

	/** Applies one pending command, which may be delivered again later. */
	#deliver(pick: number, randomPercent: number): void {
		const command =
			this.#pendingCommands[pick % Math.max(1, this.#pendingCommands.length)];
		if (!command) {
			return;
		}

		if (randomPercent < 70) {
			this.#pendingCommands = this.#pendingCommands.filter(
				(candidate) => candidate !== command,
			);
		}

		const isStale =
			command.type === 'change' && this.#fault === 'accept-stale-revision';
		const {state, result} = stepConfiguration(
			this.#state,
			isStale ? {...command, baseRevision: this.#state.revision} : command,
		);
		this.#state = state;
		this.#checkResult(command, result);
	}

	#checkResult(
		command: ConfigurationCommand,
		result: ConfigurationResult,
	): void {
		if (result.outcome === 'fencing-granted') {
			const key = JSON.stringify(command);
			const previousGrant = this.#grants.get(key);
			const isLargest = [...this.#grants.values()].every(
				(number) => number < result.fencingNumber,
			);
			this.#report(
				previousGrant === undefined
					? !isLargest
					: previousGrant !== result.fencingNumber,
				'fencing number reused',
			);
			this.#grants.set(key, result.fencingNumber);
		} else if (command.type === 'change') {
			const kind =
				result.outcome === 'applied'
					? `applied ${result.revision}`
					: result.outcome;
			const firstOutcome = this.#outcomes.get(command.operationId) ?? kind;
			this.#outcomes.set(command.operationId, firstOutcome);
			this.#report(firstOutcome !== kind, 'outcome of an operation changed');
			if (result.outcome === 'applied' && !result.repeated) {
				this.#report(
					this.#acceptedOperations.has(command.baseRevision),
					'two changes won on one base revision',
				);
				this.#acceptedOperations.set(command.baseRevision, command.operationId);
				for (const change of command.changes) {
					const {kind, name} =
						change.type === 'apply' ? change.resource : change;
					this.#expected.delete(`${kind} ${name}`);
					if (change.type === 'apply') {
						this.#expected.set(`${kind} ${name}`, change.resource);
					}
				}
			}

			this.#report(
				serializeSorted(listResources(this.#state)) !==
					serializeSorted(this.#expected.values()),
				'resources differ',
			);
		}
	}

	#changeOwner(): void {
		const state = decodeConfiguration(encodeConfiguration(this.#state));
		if (this.#fault === 'forget-operations') {
			state.operations.clear();
		} else if (this.#fault === 'forget-fencing') {
			state.fencing = {number: 0, term: 0, daemonId: ''};
		} else if (this.#fault === 'lose-update' && state.resources.size > 0) {
			const [key] = state.resources.keys();
			state.resources.delete(key!);
		}

		this.#state = state;
	}

	#updateView(index: number, update: ConfigurationUpdate): void {
		const before = this.#views[index]!.digest;
		if (this.#fault === 'view-goes-back' && 'full' in update) {
			this.#views[index] = new ConfigurationView();
		}

		const view = this.#views[index]!;
		view.applyUpdate(
			this.#fault === 'lose-change' && 'changes' in update
				? {...update, changes: update.changes.slice(1)}
				: update,
		);
		this.#report(view.digest.revision < before.revision, 'view went back');
		const isCurrent =
			view.digest.revision === configurationDigest(this.#state).revision;
		this.#report(
			isCurrent &&
				JSON.stringify(view.upstreams) !==
					JSON.stringify(listResources(this.#state, 'Upstream')),
			'view differs',
		);
	}

	#report(isProblem: boolean, problem: string): void {
		if (isProblem) {
			this.problems.add(problem);
		}
	}
}
