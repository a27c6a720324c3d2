export {BodyMemory} from './body-memory.ts';
export {CallerExchange} from './caller-exchange.ts';
export {
	type CallerIdentity,
	type ResponseHead,
	HeadCodec,
	type PromptPart,
	type RequestHead,
} from './head-codec.ts';
export {
	findHeader,
	findUnanimousHeader,
	type HeaderList,
	readRawHeaders,
	removeHopByHopHeaders,
} from './header-list.ts';
export {
	IngressServer,
	type IngressServerOptions,
	type MalformedRequest,
} from './ingress-server.ts';
export {EventBoundary} from './event-boundary.ts';
export {splitAddress} from './split-address.ts';
export {
	EventStreamReader,
	type EventStreamReaderOptions,
	MAX_EVENT_BYTES,
} from './event-stream-reader.ts';
export {hasMergedHeads} from './has-merged-heads.ts';
export {findFraming, type ResponseFraming} from './response-framing.ts';
export {
	BufferMemory,
	MAX_BUFFERED_BYTES,
	MAX_BUFFERED_RESPONSE_BYTES,
	ResponseBuffer,
} from './response-buffer.ts';
export {
	BODY_UNREADABLE_CODE,
	type RequestBody,
	type StreamedBody,
} from './request-body.ts';
export {
	type ResponseStart,
	type ExchangeHandlers,
	type OutgoingRequest,
	UpstreamClient,
	type UpstreamExchange,
	type UpstreamFailure,
} from './upstream-client.ts';
