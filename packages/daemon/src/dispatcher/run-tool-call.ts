import {readBody, ResponseTooLargeError} from '@marjoramcove/upstream-http';
import {type Dispatcher, request} from 'undici';
import type {AttemptResult, CallRun} from './call-run.ts';
import type {AttemptEnd} from './run-model-call.ts';
import {errorCodeOf, isUnsent} from './upstream-errors.ts';

const createFailure = (
	verdict: 'not-run' | 'may-have-run' | 'ran',
	reason: string,
	message: string,
	content = '',
): AttemptEnd => {
	const result: AttemptResult = {
		outcome: {status: 'failed', verdict, reason, message},
		content,
		finishReason: 'error',
	};
	return {type: 'done', result};
};

const endWithResponse = (
	run: CallRun,
	{statusCode, headers}: Dispatcher.ResponseData,
	content: string,
): AttemptEnd => {
	if (statusCode < 300) {
		const contentType = headers['content-type'];
		return {
			type: 'done',
			result: {
				outcome: {
					status: 'answered',
					verdict: 'ran',
					contentType: String(contentType ?? 'application/json').slice(0, 64),
				},
				content,
				finishReason: 'stop',
			},
		};
	}

	const message = `The service answered ${statusCode}: ${content.slice(0, 300)}`;
	if (statusCode < 500) {
		return createFailure('ran', 'service-refused', message);
	}

	return run.grant.idempotent
		? {type: 'lost', reason: 'service-error'}
		: createFailure('may-have-run', 'service-error', message);
};

type ToolCall = {
	dispatcher: Dispatcher;
	address: string;
	run: CallRun;
	answerSizeBytes: number;
};

const readOperation = ({grant}: CallRun): string =>
	'operation' in grant.target ? grant.target.operation : '';

const sendOperation = async (
	{dispatcher, address, run}: ToolCall,
	remainingMs: number,
	timeout: AbortSignal,
): Promise<Dispatcher.ResponseData> => {
	const {grant, payload} = run;
	return request(`${address}/${encodeURIComponent(readOperation(run))}`, {
		method: 'POST',
		dispatcher,
		headers: {
			'content-type': 'application/json',
			'idempotency-key': `${grant.programId}:${grant.requestId}`,
		},
		body: JSON.stringify(payload.parameters ?? {}),
		headersTimeout: remainingMs + 1000,
		bodyTimeout: remainingMs + 1000,
		signal: AbortSignal.any([run.abortController.signal, timeout]),
	});
};

/** Ends a call that got no response; `not-run` only when nothing can have been sent. */
const endWithError = (
	run: CallRun,
	error: unknown,
	isTimeout: boolean,
): AttemptEnd => {
	const verdict = isUnsent(error) ? 'not-run' : 'may-have-run';
	if (isTimeout) {
		return createFailure(
			verdict,
			run.grant.timeoutReason,
			`The operation ${readOperation(run)} did not answer within its time.`,
		);
	}

	const reason = isUnsent(error) ? 'service-unreachable' : 'answer-lost';
	return run.grant.idempotent || run.abortController.signal.aborted
		? {type: 'lost', reason}
		: createFailure(
				verdict,
				reason,
				`The service was not reached or its answer was lost (${errorCodeOf(error)}).`,
			);
};

/** Sends a tool call to a service, once. */
export const runToolCall = async (call: ToolCall): Promise<AttemptEnd> => {
	const {run, answerSizeBytes} = call;
	const remainingMs = Math.max(
		1,
		Math.ceil(run.deadlineMs - performance.now()),
	);
	const timeout = AbortSignal.timeout(remainingMs);
	try {
		const answer = await sendOperation(call, remainingMs, timeout);
		const content = await readBody(answer.body, answerSizeBytes);
		return endWithResponse(run, answer, content.toString());
	} catch (error) {
		return error instanceof ResponseTooLargeError
			? createFailure('ran', 'answer-too-large', error.message)
			: endWithError(run, error, timeout.aborted);
	}
};
