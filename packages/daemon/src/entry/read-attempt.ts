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
	/** Shortest time between two chunks. */
	coalesceMs: number;
};

type Chunk = Extract<DispatchEvent, {type: 'chunk'}>;

/**
 * Reads the stream of one attempt at its dispatcher until it ends, is lost, or the caller goes away.
 * It never rejects. `onChunk` returns false for a chunk with text missing before it; the stream then
 * counts as lost, because what follows cannot be placed either.
 */
export const readAttempt = async (
	peers: PeersService,
	request: AttemptRequest,
	onChunk: (chunk: Chunk) => boolean,
	signal: AbortSignal,
): Promise<AttemptEnd> => {
	let stop: (() => void) | undefined;
	const end = await new Promise<AttemptEnd>((resolve) => {
		signal.addEventListener('abort', () => {
			resolve({type: 'lost', reason: 'caller-gone'});
		});
		const subscribe = async () => {
			const handlers = createHandlers(onChunk, resolve);
			try {
				stop = await peers.subscribe(
					request.grant.dispatcherId,
					'dispatch.run',
					request,
					handlers,
				);
				if (signal.aborted) {
					// The caller went away while the stream was being opened.
					stop();
				}
			} catch (error) {
				resolve({type: 'lost', reason: reasonOf(error)});
			}
		};

		void subscribe();
	});
	stop?.();
	return end;
};

const createHandlers = (
	onChunk: (chunk: Chunk) => boolean,
	onEnd: (end: AttemptEnd) => void,
): CallHandlers => {
	let isEnded = false;
	const end = (how: AttemptEnd) => {
		isEnded = true;
		onEnd(how);
	};

	return {
		onData(data) {
			// Text that arrives after the end belongs to no attempt that is still read.
			if (isEnded) {
				return;
			}

			const event = data as DispatchEvent;
			if (event.type !== 'chunk') {
				end(event);
			} else if (!onChunk(event)) {
				end({type: 'lost', reason: 'chunk-missing'});
			}
		},
		onError(error) {
			end({type: 'lost', reason: reasonOf(error)});
		},
		onComplete() {
			end({type: 'lost', reason: 'dispatch-ended'});
		},
	};
};
