import {type Dispatcher, request} from 'undici';
import type {AttemptResult, CallRun} from './call-run.ts';
import type {ModelEnd} from './run-model-call.ts';
import {codeOf, isUnsent} from './upstream-errors.ts';

const failed = (
	verdict: 'not-run' | 'may-have-run' | 'ran',
	reason: string,
	message: string,
	content = '',
): ModelEnd => {
	const result: AttemptResult = {
		outcome: {status: 'failed', verdict, reason, message},
		content,
		finishReason: 'error',
	};
	return {type: 'done', result};
};

const takeStatus = (
	run: CallRun,
	{statusCode, headers}: Dispatcher.ResponseData,
	content: string,
): ModelEnd => {
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
		return failed('ran', 'service-refused', message);
	}

	return run.grant.idempotent
		? {type: 'lost', reason: 'service-error'}
		: failed('may-have-run', 'service-error', message);
};

type ToolCall = {
	dispatcher: Dispatcher;
	address: string;
	run: CallRun;
	answerSizeBytes: number;
};

const operationOf = ({grant}: CallRun): string =>
	'operation' in grant.target ? grant.target.operation : '';

const sendOperation = async (
	{dispatcher, address, run}: ToolCall,
	leftMs: number,
	timeout: AbortSignal,
): Promise<Dispatcher.ResponseData> => {
	const {grant, payload} = run;
	return request(`${address}/${encodeURIComponent(operationOf(run))}`, {
		method: 'POST',
		dispatcher,
		reset: !grant.idempotent,
		headers: {
			'content-type': 'application/json',
			'idempotency-key': `${grant.programId}:${grant.requestId}`,
		},
		body: JSON.stringify(payload.parameters ?? {}),
		headersTimeout: leftMs + 1000,
		bodyTimeout: leftMs + 1000,
		signal: AbortSignal.any([run.abort.signal, timeout]),
	});
};

/** End of a call without an answer; `not-run` only when nothing can have been sent. */
const takeFailure = (
	run: CallRun,
	error: unknown,
	isTimeout: boolean,
): ModelEnd => {
	const verdict = isUnsent(error) ? 'not-run' : 'may-have-run';
	if (isTimeout) {
		return failed(
			verdict,
			run.grant.timeoutReason,
			`The operation ${operationOf(run)} did not answer within its time.`,
		);
	}

	const reason = isUnsent(error) ? 'service-unreachable' : 'answer-lost';
	return run.grant.idempotent || run.abort.signal.aborted
		? {type: 'lost', reason}
		: failed(
				verdict,
				reason,
				`The service was not reached or its answer was lost (${codeOf(error)}).`,
			);
};

/**
 * Sends a tool call to a service, once. Non-idempotent calls get a connection of their own, because a
 * pooled connection that the service closes at the same moment would make the outcome unknown.
 */
export const runToolCall = async (call: ToolCall): Promise<ModelEnd> => {
	const {run, answerSizeBytes} = call;
	const leftMs = Math.max(1, Math.ceil(run.deadlineMs - performance.now()));
	const timeout = AbortSignal.timeout(leftMs);
	try {
		const answer = await sendOperation(call, leftMs, timeout);
		const content = await answer.body.text();
		return Buffer.byteLength(content) > answerSizeBytes
			? failed('ran', 'answer-too-large', 'The answer is too large.')
			: takeStatus(run, answer, content);
	} catch (error) {
		return takeFailure(run, error, timeout.aborted);
	}
};
