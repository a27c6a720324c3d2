export {
	CONNECTION_RESET_CODE,
	createUpstreamConnector,
} from './create-upstream-connector.ts';
