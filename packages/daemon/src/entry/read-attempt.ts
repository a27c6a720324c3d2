import type {CallHandlers} from '@marjoramcove/transport';
import type {CallPayload, DispatchEvent, Grant} from '../call-contracts.ts';
import {reasonOf} from '../daemon-context.ts';
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
 * It never rejects.
 */
export const readAttempt = async (
	peers: PeersService,
	request: AttemptRequest,
	onChunk: (chunk: Chunk) => void,
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
	onChunk: (chunk: Chunk) => void,
	onEnd: (end: AttemptEnd) => void,
): CallHandlers => ({
	onData(data) {
		const event = data as DispatchEvent;
		if (event.type === 'chunk') {
			onChunk(event);
		} else {
			onEnd(event);
		}
	},
	onError(error) {
		onEnd({type: 'lost', reason: reasonOf(error)});
	},
	onComplete() {
		onEnd({type: 'lost', reason: 'dispatch-ended'});
	},
});
