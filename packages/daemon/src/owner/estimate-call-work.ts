import type {OpenCallDescription, ProgramCommand} from '@marjoramcove/programs';
import type {OpenWork} from '@marjoramcove/scheduler';
import type {UpstreamId} from '@marjoramcove/types';
import {assumedCompletionTokens} from '../call-contracts.ts';

/**
 * Estimates the work of an open call. The record keeps only the reserved tokens, so the prompt tokens
 * are derived from the size of the history.
 *
 * @param cachedBytes - part of the history that the engine is expected to have cached.
 */
export const estimateCallWork = (
	{reservedTokens}: Pick<OpenCallDescription, 'reservedTokens'>,
	{historyBytes}: {historyBytes: number},
	{bytesPerToken, cachedBytes}: {bytesPerToken: number; cachedBytes: number},
): OpenWork => {
	const promptTokens = Math.min(
		reservedTokens,
		Math.ceil(historyBytes / bytesPerToken),
	);
	return {
		calls: 1,
		prefillTokens: Math.max(
			0,
			promptTokens - Math.floor(cachedBytes / bytesPerToken),
		),
		completionTokens: Math.min(
			assumedCompletionTokens,
			reservedTokens - promptTokens,
		),
	};
};

/** Estimates the work of a call that was just accepted or retried, from the applied command. */
export const estimateAppliedCallWork = (
	command: ProgramCommand,
	call: Pick<OpenCallDescription, 'reservedTokens' | 'upstreamId'>,
	program: {historyBytes: number},
	{
		bytesPerToken,
		engineBefore,
	}: {bytesPerToken: number; engineBefore: UpstreamId | undefined},
): OpenWork => {
	const newBytes =
		command.type === 'accept-call'
			? command.messages.reduce(
					(sum, {content}) => sum + Buffer.byteLength(content),
					0,
				)
			: 0;
	return estimateCallWork(call, program, {
		bytesPerToken,
		cachedBytes:
			engineBefore === call.upstreamId ? program.historyBytes - newBytes : 0,
	});
};
