import {reasonOf} from '@marjoramcove/errors';
import type {CallHandlers} from '@marjoramcove/transport';
import type {CallPayload, DispatchEvent, Grant} from '../call-contracts.ts';
import type {PeersService} from '../services/peers-service.ts';

/** How the stream of an attempt ended. */
export type AttemptEnd = Extract<DispatchEvent, {type: 'final' | 'lost'}>;

export type AttemptRequest = {
	grant: Grant;
	payload: CallPayload;
	fromOffset: number;
	/** Minimum time between two chunks. */
	coalesceMs: number;
};

type Chunk = Extract<DispatchEvent, {type: 'chunk'}>;

/**
 * Reads the stream of one attempt from its dispatcher until it ends, is lost, or the caller disconnects.
 * The promise never rejects. `onChunk` returns false when text before a chunk is missing; the stream then
 * counts as lost, because the offsets of later chunks do not connect either.
 */
export const readAttempt = async (
	peers: PeersService,
	request: AttemptRequest,
	onChunk: (chunk: Chunk) => boolean,
	signal: AbortSignal,
): Promise<AttemptEnd> => {
	let unsubscribe: (() => void) | undefined;
	const end = await new Promise<AttemptEnd>((resolve) => {
		signal.addEventListener('abort', () => {
			resolve({type: 'lost', reason: 'caller-gone'});
		});
		const subscribe = async () => {
			const handlers = createHandlers(onChunk, resolve);
			try {
				unsubscribe = await peers.subscribe(
					request.grant.dispatcherId,
					'dispatch.run',
					request,
					handlers,
				);
				if (signal.aborted) {
					// The caller disconnected while the stream was being opened.
					unsubscribe();
				}
			} catch (error) {
				resolve({type: 'lost', reason: reasonOf(error)});
			}
		};

		void subscribe();
	});
	unsubscribe?.();
	return end;
};

const createHandlers = (
	onChunk: (chunk: Chunk) => boolean,
	onEnd: (end: AttemptEnd) => void,
): CallHandlers => {
	let hasEnded = false;
	const finish = (end: AttemptEnd) => {
		hasEnded = true;
		onEnd(end);
	};

	return {
		onData(data) {
			// The attempt is no longer read, so text that arrives after the end is ignored.
			if (hasEnded) {
				return;
			}

			const event = data as DispatchEvent;
			if (event.type !== 'chunk') {
				finish(event);
			} else if (!onChunk(event)) {
				finish({type: 'lost', reason: 'chunk-missing'});
			}
		},
		onError(error) {
			finish({type: 'lost', reason: reasonOf(error)});
		},
		onComplete() {
			finish({type: 'lost', reason: 'dispatch-ended'});
		},
	};
};
