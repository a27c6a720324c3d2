export {CallerExchange} from './caller-exchange.ts';
export {
	type AnswerHead,
	HeadCodec,
	type PromptPart,
	type RequestHead,
} from './head-codec.ts';
export {
	findHeader,
	type HeaderList,
	readRawHeaders,
	withoutConnectionHeaders,
} from './header-list.ts';
export {
	IngressServer,
	type IngressServerOptions,
	type MalformedRequest,
} from './ingress-server.ts';
export {splitAddress} from './split-address.ts';
export {StreamReader} from './event-stream-reader.ts';
export {
	type AnswerStart,
	type ExchangeHandlers,
	type OutgoingRequest,
	UpstreamClient,
	type UpstreamExchange,
	type UpstreamFailure,
} from './upstream-client.ts';
