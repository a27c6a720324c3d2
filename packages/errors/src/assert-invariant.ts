import {InvariantViolationError} from './error-classes.ts';

/**
 * Throws {@link InvariantViolationError} when a condition that must always hold does not.
 *
 * @example
 * ```ts
 * assertInvariant(spent <= limit, 'budget-not-exceeded', event);
 * ```
 */
export function assertInvariant(
	condition: boolean,
	invariant: string,
	event: unknown,
	found?: string,
): asserts condition {
	if (!condition) {
		throw new InvariantViolationError(invariant, event, found);
	}
}
