import type {Grant} from '../call-contracts.ts';
import {CallRun} from './call-run.ts';

/** Creates an attempt of a test with ten seconds left. */
export const createCallRun = (changes: Partial<Grant>): CallRun => {
	const grant: Partial<Grant> = {
		attempt: 1,
		idempotent: false,
		maxTokens: 10,
		timeoutMs: 10_000,
		timeoutReason: 'tool-timeout',
		...changes,
	};
	return new CallRun({
		grant: grant as Grant,
		payload: {messages: [], parameters: {}, prefix: ''},
	});
};
