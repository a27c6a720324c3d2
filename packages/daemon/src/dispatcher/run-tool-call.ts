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

/**
 * Sends a tool call to a service, once. Non-idempotent calls get a connection of their own, because a
 * pooled connection that the service closes at the same moment would make the outcome unknown.
 */
export const runToolCall = async ({
	dispatcher,
	address,
	run,
	answerSizeBytes,
}: {
	dispatcher: Dispatcher;
	address: string;
	run: CallRun;
	answerSizeBytes: number;
}): Promise<ModelEnd> => {
	const {grant, payload} = run;
	const operation = 'operation' in grant.target ? grant.target.operation : '';
	const leftMs = Math.max(1, Math.ceil(run.deadlineMs - performance.now()));
	const timeout = AbortSignal.timeout(leftMs);
	try {
		const answer = await request(
			`${address}/${encodeURIComponent(operation)}`,
			{
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
			},
		);
		const content = await answer.body.text();
		return Buffer.byteLength(content) > answerSizeBytes
			? failed(
					'ran',
					'answer-too-large',
					'The answer of the service is too large.',
				)
			: takeStatus(run, answer, content);
	} catch (error) {
		if (timeout.aborted) {
			return failed(
				isUnsent(error) ? 'not-run' : 'may-have-run',
				grant.timeoutReason,
				`The operation ${operation} did not answer within its time.`,
			);
		}

		if (grant.idempotent || run.abort.signal.aborted) {
			return {
				type: 'lost',
				reason: isUnsent(error) ? 'service-unreachable' : 'answer-lost',
			};
		}

		return isUnsent(error)
			? failed('not-run', 'service-unreachable', 'The service is unreachable.')
			: failed(
					'may-have-run',
					'answer-lost',
					`The connection to the service was lost (${codeOf(error)}).`,
				);
	}
};
