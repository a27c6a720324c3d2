/**
 * Whether a request may have run.
 *
 * - `not-run`: the request has not run and never will; a retry is safe.
 * - `may-have-run`: the outcome is unknown; a non-idempotent request must not be sent again.
 * - `ran`: the request ran.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';
