import {type AcceptInput, acceptSchema} from '../call-contracts.ts';
import type {CallRun} from '../dispatcher/call-run.ts';

/** Creates the input with which an entry daemon sends a model call to the owner. */
export const createAcceptInput = (
	programId: string,
	requestId: string,
	timeoutMs: number,
): AcceptInput =>
	acceptSchema.parse({
		programId,
		requestId,
		bodyHash: '',
		kind: 'model',
		target: {model: 'agent-large'},
		messages: [],
		parameters: {},
		zone: 'zone-a',
		timeoutMs,
	});

/** One call of the simulation, with its attempts and its recorded answer. */
export class SimulatedCall {
	readonly input: AcceptInput;
	/** Text of the first attempt. It contains the ids of the call, so that the texts of two calls differ. */
	readonly text: string;
	readonly runs: CallRun[] = [];
	recorded: {attempt: number; content: string} | undefined;

	constructor(programId: string, requestId: string, length: number) {
		this.input = createAcceptInput(programId, requestId, 20_000);
		this.text = Array.from(
			{length},
			(_, index) => `${programId}/${requestId}/${index};`,
		).join('');
	}
}
