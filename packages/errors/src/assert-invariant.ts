import {InvariantViolationError} from './error-classes.ts';

/**
 * Throws an {@link InvariantViolationError} if an invariant does not hold.
 *
 * @param invariant - name of the invariant in kebab case.
 * @param event - event that was being applied, for the error message.
 * @param detail - observed state that violates the invariant.
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
	detail?: string,
): asserts condition {
	if (!condition) {
		throw new InvariantViolationError(invariant, event, detail);
	}
}
