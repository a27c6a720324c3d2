export {backoffDelay, type BackoffOptions} from './backoff-delay.ts';
export {BinaryCodec} from './binary-codec.ts';
export {
	PeerClient,
	type PeerClientEvent,
	type PeerClientOptions,
} from './peer-client.ts';
export type {CallHandlers, CloseReason, LinkOptions} from './peer-link.ts';
export {
	type CallProcedure,
	createPeerRouter,
	type PeerContext,
	type PostProcedure,
	type Procedures,
	type StreamProcedure,
} from './peer-router.ts';
export {PeerServer, type PeerServerOptions} from './peer-server.ts';
export {
	type PeerChannel,
	PeerNetwork,
	type PeerNetworkOptions,
} from './peer-network.ts';
