import {type AcceptInput, acceptSchema} from '../call-contracts.ts';
import type {CallRun} from '../dispatcher/call-run.ts';

/** A model call as an entry daemon sends it to the owner. */
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

/** One call of the model, with its attempts and its record. */
export class ModelCall {
	readonly input: AcceptInput;
	/** Text of the first attempt; its marks name the call, so that mixed answers differ. */
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
