import {assertInvariant} from '@marjoramcove/errors';
import type {
	ChangeCommand,
	ConfigurationCommand,
	ConfigurationResult,
	GrantFencingCommand,
	ResourceChange,
} from './commands.ts';
import {encodeCanonical, hashText} from './hash.ts';
import {validateResource} from './parse-resources.ts';
import {RESOURCE_KINDS} from './schemas.ts';
import {
	applyChange,
	changedResourceKey,
	type ConfigurationState,
	extendHash,
	MAX_RECENT_CHANGES,
	MAX_RECORDED_OPERATIONS,
	listResources,
	type RecordedOutcome,
} from './state.ts';

/** Maximum number of resource changes in one command. */
const MAX_CHANGES_PER_COMMAND = MAX_RECENT_CHANGES;

/** Returns the problem with a single change, or undefined if it is valid. */
const findChangeProblem = (
	state: ConfigurationState,
	change: ResourceChange,
): string | undefined => {
	if (change.type === 'apply') {
		const result = validateResource(change.resource);
		return 'problems' in result ? result.problems.join('; ') : undefined;
	}

	if (!RESOURCE_KINDS.includes(change.kind)) {
		return `kind: found ${JSON.stringify(change.kind)}; allowed: ${RESOURCE_KINDS.join(', ')}`;
	}

	return state.resources.has(changedResourceKey(change))
		? undefined
		: `${change.kind} ${change.name} does not exist and cannot be deleted`;
};

/** Returns the first problem with a command, or undefined if it is valid. */
const findProblem = (
	state: ConfigurationState,
	command: ChangeCommand,
): string | undefined => {
	if (
		command.changes.length === 0 ||
		command.changes.length > MAX_CHANGES_PER_COMMAND
	) {
		return `found ${command.changes.length} changes; allowed: 1 to ${MAX_CHANGES_PER_COMMAND}`;
	}

	const keys = new Set<string>();
	for (const [index, change] of command.changes.entries()) {
		const problem = findChangeProblem(state, change);
		if (problem) {
			return `change ${index + 1}: ${problem}`;
		}

		keys.add(changedResourceKey(change));
	}

	return keys.size === command.changes.length
		? undefined
		: 'two changes are about the same resource';
};

/** Evaluates a new operation and applies it if it is accepted. */
const evaluateChange = (
	state: ConfigurationState,
	command: ChangeCommand,
): RecordedOutcome => {
	if (command.baseRevision !== state.revision) {
		return {outcome: 'conflict'};
	}

	const problem = findProblem(state, command);
	if (problem) {
		return {outcome: 'invalid', message: problem};
	}

	state.revision++;
	for (const change of command.changes) {
		applyChange(state.resources, change);
		state.hash = extendHash(state.hash, change);
		state.recentChanges.push({revision: state.revision, change});
	}

	state.recentChanges.splice(
		0,
		state.recentChanges.length - MAX_RECENT_CHANGES,
	);
	return {outcome: 'applied', revision: state.revision, hash: state.hash};
};

const recordOperation = (
	state: ConfigurationState,
	command: ChangeCommand,
	commandHash: string,
	result: RecordedOutcome,
): void => {
	state.operations.set(command.operationId, {commandHash, result});
	if (state.operations.size > MAX_RECORDED_OPERATIONS) {
		const [oldest] = state.operations.keys();
		state.operations.delete(oldest!);
	}
};

const toResult = (
	state: ConfigurationState,
	result: RecordedOutcome,
	repeated: boolean,
): ConfigurationResult =>
	result.outcome === 'conflict'
		? {
				outcome: 'conflict',
				currentRevision: state.revision,
				current: listResources(state),
				repeated,
			}
		: {...result, repeated};

const handleChange = (
	state: ConfigurationState,
	command: ChangeCommand,
): ConfigurationResult => {
	const commandHash = hashText(
		encodeCanonical([command.baseRevision, command.changes]),
	);
	const recorded = state.operations.get(command.operationId);
	if (recorded && recorded.commandHash !== commandHash) {
		return {
			outcome: 'invalid',
			message: `operation id ${command.operationId} was used for another change; use a new operation id`,
			repeated: true,
		};
	}

	if (recorded) {
		return toResult(state, recorded.result, true);
	}

	const result = evaluateChange(state, command);
	recordOperation(state, command, commandHash, result);
	return toResult(state, result, false);
};

/**
 * Grants a fencing number to a leader. A resent command returns the number that it was granted before.
 * A command of an older term is rejected, so that a delayed duplicate cannot fence off a newer leader.
 */
const grantFencingNumber = (
	state: ConfigurationState,
	{daemonId, term}: GrantFencingCommand,
): ConfigurationResult => {
	const {fencing} = state;
	if (term === fencing.term && daemonId === fencing.daemonId) {
		return {outcome: 'fencing-granted', fencingNumber: fencing.number};
	}

	if (!Number.isSafeInteger(term) || term <= fencing.term) {
		return {
			outcome: 'invalid',
			message: `term ${term} is not newer than term ${fencing.term}, for which ${fencing.daemonId} has fencing number ${fencing.number}`,
			repeated: false,
		};
	}

	state.fencing = {number: fencing.number + 1, term, daemonId};
	return {outcome: 'fencing-granted', fencingNumber: state.fencing.number};
};

/**
 * Applies one command of the replicated configuration log.
 *
 * @throws InvariantViolationError when the revision or the fencing number would decrease.
 * @example
 * ```ts
 * const {state, result} = stepConfiguration(previous, command);
 * ```
 */
export const stepConfiguration = (
	state: ConfigurationState,
	command: ConfigurationCommand,
): {state: ConfigurationState; result: ConfigurationResult} => {
	const {revision, hash, fencing} = state;
	const result =
		command.type === 'change'
			? handleChange(state, command)
			: grantFencingNumber(state, command);
	const isNewRevision = result.outcome === 'applied' && !result.repeated;
	assertInvariant(
		state.revision === revision + (isNewRevision ? 1 : 0) &&
			(state.hash === hash) === !isNewRevision,
		'revision-grows-by-accepted-changes',
		command,
		`${revision} to ${state.revision}`,
	);
	assertInvariant(
		state.fencing.number >= fencing.number &&
			state.fencing.term >= fencing.term,
		'fencing-number-only-grows',
		command,
		`${fencing.number} to ${state.fencing.number}`,
	);
	assertInvariant(
		state.operations.size <= MAX_RECORDED_OPERATIONS &&
			state.recentChanges.length <= MAX_RECENT_CHANGES,
		'configuration-bounds',
		command,
	);
	return {state, result};
};
