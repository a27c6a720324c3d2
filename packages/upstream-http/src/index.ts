export {
	CONNECTION_RESET_CODE,
	createUpstreamConnector,
} from './create-upstream-connector.ts';
export {readBody, readJson, ResponseTooLargeError} from './read-body.ts';
